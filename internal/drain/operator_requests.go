package drain

import (
	"fmt"
	"math"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// Handle answers an operator's request; answer is called once. Changes are confirmed
// when they are durable.
func (c *Coordinator) Handle(req *Request, answer func(Response)) {
	if refusal := req.Validate(); refusal != nil {
		answer(c.refused(refusal))
		return
	}
	if c.token == 0 || !c.isCurrent || !c.lease.LeaseValid() || !c.cluster.IsKnown() {
		answer(c.unavailable("this node does not lead, or does not know all machines and work yet"))
		return
	}
	switch req.Verb {
	case VerbStatus:
		c.status(req.ID, answer)
	case VerbPlan:
		c.plan(req, answer)
	case VerbStart:
		c.start(req, answer)
	default:
		c.changePhase(req, answer)
	}
}

func (c *Coordinator) refused(err *RequestError) Response {
	return Response{Status: StatusRefused, Node: c.node, Field: err.Field, Reason: err.Reason}
}

func (c *Coordinator) unavailable(reason string) Response {
	return Response{Status: StatusUnavailable, Node: c.node, Reason: reason, RetryMS: tuning.OperatorRetryDelay.Milliseconds()}
}

// reply answers the request that is being committed.
func (c *Coordinator) reply(response Response) {
	if answer := c.pendingAnswer; answer != nil {
		c.pendingAnswer = nil
		answer(response)
	}
}

// confirmed answers with how one drain stands.
func (c *Coordinator) confirmed(id string) Response {
	response := Response{Status: StatusOK, Node: c.node}
	if drain := c.records.Get(id); drain != nil {
		response.Drains = []View{c.view(drain)}
	}
	return response
}

func (c *Coordinator) view(drain *Drain) View {
	result := View{
		ID: drain.ID, Phase: drain.Head.Phase, Replace: drain.Head.Replace, Machines: drain.Head.Machines,
		States: map[string]int{}, Waits: c.waitReasons[drain.ID],
	}
	for state, count := range drain.CountByState() {
		name := string(state)
		if state == MachineWaiting {
			name = "waiting"
		}
		result.States[name] = count
	}
	if len(drain.Pages) == 0 {
		result.States[string(MachineReleased)] = drain.Head.Released
	}
	for _, grant := range drain.Grants {
		for _, ref := range grant.Tasks {
			if !c.isSettled(ref) {
				result.Grants += max(1, ref.Gang)
			}
		}
	}
	return result
}

func (c *Coordinator) status(id string, answer func(Response)) {
	response := Response{Status: StatusOK, Node: c.node, Teams: map[string]TeamState{}}
	if id != "" && c.records.Get(id) == nil {
		answer(c.refused(&RequestError{"id", fmt.Sprintf("no drain %q", id)}))
		return
	}
	for _, drain := range c.records.Drains() {
		if id == "" || drain.ID == id {
			response.Drains = append(response.Drains, c.view(drain))
		}
	}
	for name, usage := range c.currentUsage().teams {
		response.Teams[name] = TeamState{*usage, c.budgets.ForTeam(name).String()}
	}
	answer(response)
}

// selectMachines lists the machines that a request names.
func (c *Coordinator) selectMachines(selection Selection) ([]MachineInfo, *RequestError) {
	matching, refusal := newMatcher(selection)
	if refusal != nil {
		return nil, refusal
	}
	var machines []MachineInfo
	c.cluster.EachMachine(func(info *MachineInfo) {
		if matching.matches(info) {
			machines = append(machines, *info)
		}
	})
	if name := matching.missingMachine(); name != "" {
		return nil, &RequestError{"machine", fmt.Sprintf("there is no machine %q", name)}
	}
	if len(machines) == 0 {
		return nil, &RequestError{"selection", "no machine matches it"}
	}
	return machines, nil
}

// eachDisturbed calls fn for the tasks on machines, once for each gang.
func (c *Coordinator) eachDisturbed(machines []MachineInfo, fn func(spec *jobs.Spec, more Amount)) {
	selected := map[string]bool{}
	for _, machine := range machines {
		selected[machine.ID] = true
	}
	gangs := map[string]bool{}
	c.cluster.EachPlacement(func(spec *jobs.Spec, status taskstate.TaskStatus) {
		if !selected[status.WorkerID] || gangs[spec.ID] {
			return
		}
		ref := TaskRef{Job: spec.ID}
		if spec.IsGang() {
			gangs[spec.ID], ref.Gang = true, spec.Tasks
		}
		fn(spec, disturbanceOf(spec, ref))
	})
}

// plan tells what a drain would disturb.
func (c *Coordinator) plan(req *Request, answer func(Response)) {
	machines, refusal := c.selectMachines(req.Selection)
	if refusal != nil {
		answer(c.refused(refusal))
		return
	}
	plan := &Plan{Machines: len(machines), Teams: map[string]TeamPlan{}}
	jobIDs := map[string]bool{}
	c.eachDisturbed(machines, func(spec *jobs.Spec, requested Amount) {
		team := plan.Teams[spec.Team]
		team.Amount = team.Plus(requested)
		plan.Teams[spec.Team] = team
		jobIDs[spec.ID] = true
	})
	plan.Jobs = len(jobIDs)
	for name, team := range plan.Teams {
		budget := c.budgets.ForTeam(name)
		team.Budget = budget.String()
		team.Rounds = max(1, int(math.Ceil(max(float64(team.Tasks)/float64(budget.Tasks), team.CPUs/budget.CPUs)-slack)))
		plan.Teams[name] = team
	}
	answer(Response{Status: StatusOK, Node: c.node, Plan: plan})
}

// checkBudgets finds work that no budget would ever let go.
func (c *Coordinator) checkBudgets(machines []MachineInfo) *RequestError {
	var refusal *RequestError
	c.eachDisturbed(machines, func(spec *jobs.Spec, requested Amount) {
		if short := c.budgets.ForTeam(spec.Team).NeverAllows(spec.Team, requested); short != nil && refusal == nil {
			refusal = &RequestError{"budget", "nothing of job " + spec.ID + " could ever move: " + short.String()}
		}
	})
	return refusal
}

// isBusy takes the place of the request that is being committed; false if it is taken.
func (c *Coordinator) isBusy(answer func(Response)) bool {
	if c.commitInFlight || c.pendingAnswer != nil {
		answer(c.unavailable("a change of the drains is being committed"))
		return true
	}
	c.pendingAnswer = answer
	return false
}

// start accepts a drain: first the pages, which mean nothing by themselves, then the
// head.
func (c *Coordinator) start(req *Request, answer func(Response)) {
	if repeated := c.answerRepeated(req); repeated != nil {
		answer(*repeated)
		return
	}
	machines, refusal := c.selectMachines(req.Selection)
	if refusal == nil {
		refusal = c.checkBudgets(machines)
	}
	if refusal != nil {
		answer(c.refused(refusal))
		return
	}
	if c.isBusy(answer) {
		return
	}
	pages := c.paginate(machines)
	head := Head{
		Phase: PhaseRunning, Created: c.rt.WallClock().UnixMilli(), Digest: req.Digest(), Replace: req.Replace,
		Machines: len(machines), Pages: len(pages),
	}
	c.writePages(req, pages, 0, head)
}

// answerRepeated answers a repeated request; nil if it is not one.
func (c *Coordinator) answerRepeated(req *Request) *Response {
	drain := c.records.Get(req.ID)
	if drain == nil {
		return nil
	}
	response := c.confirmed(req.ID)
	if drain.Head.Digest != req.Digest() {
		response = c.refused(&RequestError{"id", fmt.Sprintf("drain %q exists with another selection", req.ID)})
	}
	return &response
}

func (c *Coordinator) paginate(machines []MachineInfo) []Page {
	perPage := max(1, c.state.MaxValueBytes()/maxMachineBytes)
	var pages []Page
	for i, machine := range machines {
		if i%perPage == 0 {
			pages = append(pages, Page{})
		}
		page := &pages[len(pages)-1]
		page.Machines = append(page.Machines, Machine{ID: machine.ID})
	}
	return pages
}

// writePages commits the pages from one number on, in as many commits as they take,
// then the head.
func (c *Coordinator) writePages(req *Request, pages []Page, from int, head Head) {
	if from == len(pages) {
		c.writeHead(req, head)
		return
	}
	existing := c.records.drains[req.ID]
	conditions := []statestore.Condition{{Key: HeadKey(req.ID)}}
	var operations []statestore.Operation
	valueBytes, next := 0, from
	for ; next < len(pages) && len(operations) < c.state.MaxOperations(); next++ {
		raw, err := encode(pages[next])
		if err != nil || (len(operations) > 0 && valueBytes+len(raw) > tuning.MaxCommitBytes) {
			break
		}
		condition := statestore.Condition{Key: PageKey(req.ID, next)}
		if existing != nil && existing.Pages[next] != nil { // of a request that came to nothing
			condition.Revision = existing.Pages[next].Revision
		}
		valueBytes += len(raw)
		conditions = append(conditions, condition)
		operations = append(operations, statestore.Operation{PutKey: condition.Key, Value: raw})
	}
	c.commit(conditions, operations, func(committed bool) {
		if !committed {
			c.reply(c.unavailable("the request met another one"))
			return
		}
		c.writePages(req, pages, next, head)
	})
}

func (c *Coordinator) writeHead(req *Request, head Head) {
	raw, err := encode(head)
	if err != nil {
		c.reply(c.unavailable(err.Error()))
		return
	}
	c.commit([]statestore.Condition{{Key: HeadKey(req.ID)}}, []statestore.Operation{{PutKey: HeadKey(req.ID), Value: raw}}, func(bool) {
		// A first answer may have been lost: the book tells what came of it.
		if repeated := c.answerRepeated(req); repeated != nil {
			c.log.Info("drain accepted", "drain", req.ID, "machines", head.Machines, "replace", head.Replace)
			c.reply(*repeated)
			return
		}
		c.reply(c.unavailable("the request met another one"))
	})
}

// phaseChanges tells, by verb, the phase that a request leads to and those from which it may.
var phaseChanges = map[Verb]struct {
	to   Phase
	from []Phase
}{
	VerbPause:  {PhasePaused, []Phase{PhaseRunning}},
	VerbResume: {PhaseRunning, []Phase{PhasePaused}},
	VerbCancel: {PhaseCancelled, []Phase{PhaseRunning, PhasePaused}},
}

// changePhase pauses, resumes or cancels a drain.
func (c *Coordinator) changePhase(req *Request, answer func(Response)) {
	drain := c.records.Get(req.ID)
	if drain == nil {
		answer(c.refused(&RequestError{"id", fmt.Sprintf("no drain %q", req.ID)}))
		return
	}
	target := phaseChanges[req.Verb]
	if drain.Head.Phase == target.to {
		answer(c.confirmed(req.ID)) // repeated
		return
	}
	allowed := false
	for _, from := range target.from {
		allowed = allowed || drain.Head.Phase == from
	}
	if !allowed {
		answer(c.refused(&RequestError{"id", fmt.Sprintf("drain %q is %s", req.ID, drain.Head.Phase)}))
		return
	}
	if c.isBusy(answer) {
		return
	}
	head := drain.Head
	head.Phase = target.to
	if head.Phase == PhaseCancelled {
		head.Ended, head.Released = c.rt.WallClock().UnixMilli(), drain.CountByState()[MachineReleased]
	}
	raw, err := encode(head)
	if err != nil {
		c.reply(c.unavailable(err.Error()))
		return
	}
	c.commit([]statestore.Condition{{Key: HeadKey(req.ID), Revision: drain.Revision}}, []statestore.Operation{{PutKey: HeadKey(req.ID), Value: raw}}, func(bool) {
		if changed := c.records.Get(req.ID); changed != nil && changed.Head.Phase == target.to {
			c.log.Info("drain changed", "drain", req.ID, "phase", target.to)
			c.reply(c.confirmed(req.ID))
			return
		}
		c.reply(c.unavailable("the request met another one"))
	})
}
