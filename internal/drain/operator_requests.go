package drain

import (
	"fmt"
	"log/slog"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// requestHandler answers operators' requests while this process leads. Requests that
// change a drain are committed one at a time, and never while a pass is being committed.
type requestHandler struct {
	rt           eventloop.Runtime
	state        *statestore.Client
	cluster      Cluster
	records      *Records
	budgets      Budgets
	committer    *committer
	disturbances *disturbances
	progress     *progressLog
	node         string // name of this controller, for the answers
	log          *slog.Logger

	pendingAnswer func(Response) // replies to the request that is being committed, nil if there is none
}

// handle answers a valid request. It calls answer once.
func (h *requestHandler) handle(request *Request, answer func(Response)) {
	switch request.Verb {
	case VerbStatus:
		answer(h.status(request.ID))
	case VerbPlan:
		answer(h.plan(request))
	case VerbStart:
		h.start(request, answer)
	case VerbPause, VerbResume, VerbCancel:
		h.changePhase(request, answer)
	}
}

// abandon answers the request that is being committed when the leadership is lost. Its
// outcome is unknown here; a repeated request learns it from the next leader.
func (h *requestHandler) abandon() {
	h.reply(h.unavailable("the leader changed before the outcome of the request was known"))
}

// isCommitting reports whether a request is being committed.
func (h *requestHandler) isCommitting() bool { return h.pendingAnswer != nil }

// beginCommit registers answer for the outcome of the request's commit. If a commit of
// another request or of a pass is in progress, it answers that the request is unavailable
// and returns false.
func (h *requestHandler) beginCommit(answer func(Response)) bool {
	if h.committer.inFlight || h.isCommitting() {
		answer(h.unavailable("another change of the drains is being committed"))
		return false
	}
	h.pendingAnswer = answer
	return true
}

// reply answers the request that is being committed, if there is one.
func (h *requestHandler) reply(response Response) {
	if answer := h.pendingAnswer; answer != nil {
		h.pendingAnswer = nil
		answer(response)
	}
}

// refused returns the answer to a request that will not be accepted if repeated.
func (h *requestHandler) refused(err *RequestError) Response {
	return Response{Status: StatusRefused, Node: h.node, Field: err.Field, Reason: err.Reason}
}

// unavailable returns the answer to a request that may be sent again after
// OperatorRetryDelay.
func (h *requestHandler) unavailable(reason string) Response {
	return Response{Status: StatusUnavailable, Node: h.node, Reason: reason, RetryMS: tuning.OperatorRetryDelay.Milliseconds()}
}

// superseded returns the answer to a request whose commit failed on a condition: the drain's
// records or the leader have changed.
func (h *requestHandler) superseded() Response {
	return h.unavailable("the drains or the leader changed while the request was being committed")
}

// unknownDrain returns the answer to a request for a drain that does not exist.
func (h *requestHandler) unknownDrain(id string) Response {
	return h.refused(&RequestError{fieldID, fmt.Sprintf("no drain %q", id)})
}

// confirmed returns the answer to a successful request, with the current view of its drain.
func (h *requestHandler) confirmed(id string) Response {
	response := Response{Status: StatusOK, Node: h.node}
	if drain := h.records.Get(id); drain != nil {
		response.Drains = []View{h.view(drain)}
	}
	return response
}

// view returns a drain as operators see it. If the pages of an ended drain are removed, only
// the number of released machines is known, from its head.
func (h *requestHandler) view(drain *Drain) View {
	states := map[string]int{}
	for state, count := range drain.CountByState() {
		name := string(state)
		if state == MachineWaiting {
			name = "waiting"
		}
		states[name] = count
	}
	if len(drain.Pages) == 0 {
		states[string(MachineReleased)] = drain.Head.Released
	}
	return View{
		ID: drain.ID, Phase: drain.Head.Phase, Replace: drain.Head.Replace, Machines: drain.Head.Machines,
		States: states, DisturbedTasks: h.disturbances.unsettledTasks(drain), WaitReasons: h.progress.waitReasons[drain.ID],
	}
}

// status returns the view of one drain, or of all drains if the ID is empty, and the budgets
// and usage of all teams.
func (h *requestHandler) status(id string) Response {
	if id != "" && h.records.Get(id) == nil {
		return h.unknownDrain(id)
	}
	response := Response{Status: StatusOK, Node: h.node, Teams: map[string]TeamState{}}
	for _, drain := range h.records.Drains() {
		if id == "" || drain.ID == id {
			response.Drains = append(response.Drains, h.view(drain))
		}
	}
	for name, usage := range h.disturbances.usage().teams {
		response.Teams[name] = TeamState{*usage, h.budgets.ForTeam(name).String()}
	}
	return response
}

// plan returns what a drain of the selected machines would disturb.
func (h *requestHandler) plan(request *Request) Response {
	machines, refusal := selectMachines(h.cluster, request.Selection)
	if refusal != nil {
		return h.refused(refusal)
	}
	plan := &Plan{Machines: len(machines), Teams: map[string]TeamPlan{}}
	jobIDs := map[string]bool{}
	h.eachDisturbed(machines, func(spec *jobs.Spec, amount Amount) {
		team := plan.Teams[spec.Team]
		team.Amount = team.Plus(amount)
		plan.Teams[spec.Team] = team
		jobIDs[spec.ID] = true
	})
	plan.Jobs = len(jobIDs)
	for name, team := range plan.Teams {
		budget := h.budgets.ForTeam(name)
		team.Budget = budget.String()
		team.Rounds = budget.rounds(team.Amount)
		plan.Teams[name] = team
	}
	return Response{Status: StatusOK, Node: h.node, Plan: plan}
}

// eachDisturbed calls fn for each task placed on the machines, and once for each gang that
// has tasks on them.
func (h *requestHandler) eachDisturbed(machines []MachineInfo, fn func(spec *jobs.Spec, amount Amount)) {
	isSelected := map[string]bool{}
	for _, machine := range machines {
		isSelected[machine.ID] = true
	}
	gangs := map[string]bool{}
	h.cluster.EachPlacement(func(spec *jobs.Spec, status taskstate.TaskStatus) {
		if !isSelected[status.WorkerID] || gangs[spec.ID] {
			return
		}
		ref := TaskRef{Job: spec.ID}
		if spec.IsGang() {
			gangs[spec.ID], ref.Gang = true, spec.Tasks
		}
		fn(spec, disturbanceOf(spec, ref))
	})
}
