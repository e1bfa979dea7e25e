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
	if c.token == 0 || !c.loaded || !c.lease.LeaseValid() || !c.cluster.IsKnown() {
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
		c.change(req, answer)
	}
}

// Validate finds what is wrong with a request by itself; nil if nothing is.
func (r *Request) Validate() *RequestError {
	if r.Verb == VerbPlan || r.Verb == VerbStart {
		if _, refusal := newMatcher(r.Selection); refusal != nil {
			return refusal
		}
	}
	switch r.Verb {
	case VerbPlan:
		return nil
	case VerbStatus:
		if r.ID == "" {
			return nil
		}
	case VerbStart, VerbPause, VerbResume, VerbCancel:
	default:
		return &RequestError{"verb", fmt.Sprintf("%q is not known", r.Verb)}
	}
	if !ValidID(r.ID) {
		return &RequestError{"id", fmt.Sprintf("%q is not 1 to 40 of a-z, 0-9 and -, the first a letter or digit", r.ID)}
	}
	return nil
}

func (c *Coordinator) refused(why *RequestError) Response {
	return Response{Status: StatusRefused, Node: c.node, Field: why.Field, Reason: why.Reason}
}

func (c *Coordinator) unavailable(why string) Response {
	return Response{Status: StatusUnavailable, Node: c.node, Reason: why, RetryMS: tuning.OperatorRetryDelay.Milliseconds()}
}

// reply answers the request that is being committed.
func (c *Coordinator) reply(r Response) {
	if answer := c.serving; answer != nil {
		c.serving = nil
		answer(r)
	}
}

// ok answers with how one drain stands.
func (c *Coordinator) ok(id string) Response {
	r := Response{Status: StatusOK, Node: c.node}
	if d := c.book.Get(id); d != nil {
		r.Drains = []DrainView{c.view(d)}
	}
	return r
}

func (c *Coordinator) view(d *Drain) DrainView {
	v := DrainView{
		ID: d.ID, Phase: d.Head.Phase, Replace: d.Head.Replace, Machines: d.Head.Machines,
		States: map[string]int{}, Waits: c.waits[d.ID],
	}
	for state, n := range d.Count() {
		name := string(state)
		if state == MachineWaiting {
			name = "waiting"
		}
		v.States[name] = n
	}
	if len(d.Pages) == 0 {
		v.States[string(MachineReleased)] = d.Head.Released
	}
	for _, g := range d.Grants {
		for _, ref := range g.Tasks {
			if !c.settled(ref) {
				v.Grants += max(1, ref.Gang)
			}
		}
	}
	return v
}

func (c *Coordinator) status(id string, answer func(Response)) {
	r := Response{Status: StatusOK, Node: c.node, Teams: map[string]TeamState{}}
	if id != "" && c.book.Get(id) == nil {
		answer(c.refused(&RequestError{"id", fmt.Sprintf("no drain %q", id)}))
		return
	}
	for _, d := range c.book.Drains() {
		if id == "" || d.ID == id {
			r.Drains = append(r.Drains, c.view(d))
		}
	}
	for name, use := range c.usage().teams {
		r.Teams[name] = TeamState{*use, c.budgets.Of(name).String()}
	}
	answer(r)
}

// selected lists the machines that a request names.
func (c *Coordinator) selected(s Selection) ([]MachineInfo, *RequestError) {
	m, refusal := newMatcher(s)
	if refusal != nil {
		return nil, refusal
	}
	var list []MachineInfo
	c.cluster.EachMachine(func(info *MachineInfo) {
		if m.match(info) {
			list = append(list, *info)
		}
	})
	if name := m.missing(); name != "" {
		return nil, &RequestError{"machine", fmt.Sprintf("there is no machine %q", name)}
	}
	if len(list) == 0 {
		return nil, &RequestError{"selection", "no machine matches it"}
	}
	return list, nil
}

// disturbed calls fn for the tasks on machines, once for each gang.
func (c *Coordinator) disturbed(machines []MachineInfo, fn func(d *jobs.Spec, more Amount)) {
	on := map[string]bool{}
	for _, m := range machines {
		on[m.ID] = true
	}
	gangs := map[string]bool{}
	c.cluster.EachPlacement(func(d *jobs.Spec, mark taskstate.TaskStatus) {
		if !on[mark.WorkerID] || gangs[d.ID] {
			return
		}
		ref := TaskRef{Job: d.ID}
		if d.IsGang() {
			gangs[d.ID], ref.Gang = true, d.Tasks
		}
		fn(d, amount(d, ref))
	})
}

// plan tells what a drain would disturb.
func (c *Coordinator) plan(req *Request, answer func(Response)) {
	machines, refusal := c.selected(req.Selection)
	if refusal != nil {
		answer(c.refused(refusal))
		return
	}
	p := &Plan{Machines: len(machines), Teams: map[string]TeamPlan{}}
	seen := map[string]bool{}
	c.disturbed(machines, func(d *jobs.Spec, more Amount) {
		team := p.Teams[d.Team]
		team.Amount = team.Plus(more)
		p.Teams[d.Team] = team
		seen[d.ID] = true
	})
	p.Jobs = len(seen)
	for name, team := range p.Teams {
		budget := c.budgets.Of(name)
		team.Budget = budget.String()
		team.Rounds = max(1, int(math.Ceil(max(float64(team.Tasks)/float64(budget.Tasks), team.CPUs/budget.CPUs)-slack)))
		p.Teams[name] = team
	}
	answer(Response{Status: StatusOK, Node: c.node, Plan: p})
}

// never finds work that no budget would ever let go.
func (c *Coordinator) never(machines []MachineInfo) *RequestError {
	var refusal *RequestError
	c.disturbed(machines, func(d *jobs.Spec, more Amount) {
		if short := c.budgets.Of(d.Team).Never(d.Team, more); short != nil && refusal == nil {
			refusal = &RequestError{"budget", "nothing of job " + d.ID + " could ever move: " + short.String()}
		}
	})
	return refusal
}

// busy takes the place of the request that is being committed; false if it is taken.
func (c *Coordinator) busy(answer func(Response)) bool {
	if c.flying || c.serving != nil {
		answer(c.unavailable("a change of the drains is being committed"))
		return true
	}
	c.serving = answer
	return false
}

// start accepts a drain: first the pages, which mean nothing by themselves, then the
// head.
func (c *Coordinator) start(req *Request, answer func(Response)) {
	if known := c.known(req); known != nil {
		answer(*known)
		return
	}
	machines, refusal := c.selected(req.Selection)
	if refusal == nil {
		refusal = c.never(machines)
	}
	if refusal != nil {
		answer(c.refused(refusal))
		return
	}
	if c.busy(answer) {
		return
	}
	pages := c.paginate(machines)
	head := Head{
		Phase: PhaseRunning, Created: c.rt.WallClock().UnixMilli(), Digest: req.Digest(), Replace: req.Replace,
		Machines: len(machines), Pages: len(pages),
	}
	c.writePages(req, pages, 0, head)
}

// known answers a repeated request; nil if it is not one.
func (c *Coordinator) known(req *Request) *Response {
	d := c.book.Get(req.ID)
	if d == nil {
		return nil
	}
	r := c.ok(req.ID)
	if d.Head.Digest != req.Digest() {
		r = c.refused(&RequestError{"id", fmt.Sprintf("drain %q exists with another selection", req.ID)})
	}
	return &r
}

func (c *Coordinator) paginate(machines []MachineInfo) []Page {
	each := max(1, c.state.MaxValueBytes()/machineBytes)
	var pages []Page
	for i, m := range machines {
		if i%each == 0 {
			pages = append(pages, Page{})
		}
		page := &pages[len(pages)-1]
		page.Machines = append(page.Machines, Machine{ID: m.ID})
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
	old := c.book.drains[req.ID]
	guards := []statestore.Condition{{Key: HeadKey(req.ID)}}
	var apply []statestore.Operation
	bytes, next := 0, from
	for ; next < len(pages) && len(apply) < c.state.MaxOperations(); next++ {
		raw, err := encode(pages[next])
		if err != nil || (len(apply) > 0 && bytes+len(raw) > tuning.MaxCommitBytes) {
			break
		}
		guard := statestore.Condition{Key: PageKey(req.ID, next)}
		if old != nil && old.Pages[next] != nil { // of a request that came to nothing
			guard.Revision = old.Pages[next].Revision
		}
		bytes += len(raw)
		guards = append(guards, guard)
		apply = append(apply, statestore.Operation{PutKey: guard.Key, Value: raw})
	}
	c.commit(guards, apply, func(ok bool) {
		if !ok {
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
		if known := c.known(req); known != nil {
			c.log.Info("drain accepted", "drain", req.ID, "machines", head.Machines, "replace", head.Replace)
			c.reply(*known)
			return
		}
		c.reply(c.unavailable("the request met another one"))
	})
}

// targets tells, by verb, the phase that a request leads to and those from which it may.
var targets = map[Verb]struct {
	to   Phase
	from []Phase
}{
	VerbPause:  {PhasePaused, []Phase{PhaseRunning}},
	VerbResume: {PhaseRunning, []Phase{PhasePaused}},
	VerbCancel: {PhaseCancelled, []Phase{PhaseRunning, PhasePaused}},
}

// change pauses, resumes or cancels a drain.
func (c *Coordinator) change(req *Request, answer func(Response)) {
	d := c.book.Get(req.ID)
	if d == nil {
		answer(c.refused(&RequestError{"id", fmt.Sprintf("no drain %q", req.ID)}))
		return
	}
	target := targets[req.Verb]
	if d.Head.Phase == target.to {
		answer(c.ok(req.ID)) // repeated
		return
	}
	allowed := false
	for _, from := range target.from {
		allowed = allowed || d.Head.Phase == from
	}
	if !allowed {
		answer(c.refused(&RequestError{"id", fmt.Sprintf("drain %q is %s", req.ID, d.Head.Phase)}))
		return
	}
	if c.busy(answer) {
		return
	}
	head := d.Head
	head.Phase = target.to
	if head.Phase == PhaseCancelled {
		head.Ended, head.Released = c.rt.WallClock().UnixMilli(), d.Count()[MachineReleased]
	}
	raw, err := encode(head)
	if err != nil {
		c.reply(c.unavailable(err.Error()))
		return
	}
	c.commit([]statestore.Condition{{Key: HeadKey(req.ID), Revision: d.Revision}}, []statestore.Operation{{PutKey: HeadKey(req.ID), Value: raw}}, func(bool) {
		if now := c.book.Get(req.ID); now != nil && now.Head.Phase == target.to {
			c.log.Info("drain changed", "drain", req.ID, "phase", target.to)
			c.reply(c.ok(req.ID))
			return
		}
		c.reply(c.unavailable("the request met another one"))
	})
}
