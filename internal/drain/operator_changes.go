package drain

import (
	"fmt"
	"slices"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// startCommit commits an accepted request to start a drain: first the pages, in as many
// commits as their size needs, then the head. Pages have no effect until the head exists.
type startCommit struct {
	*requestHandler

	request *Request
	head    Head
	pages   []Page
}

// start validates a request to start a drain against the cluster and the budgets, and
// commits the drain.
func (h *requestHandler) start(request *Request, answer func(Response)) {
	if response, isRepeated := h.answerRepeated(request); isRepeated {
		answer(response)
		return
	}
	machines, refusal := selectMachines(h.cluster, request.Selection)
	if refusal == nil {
		refusal = h.checkBudgets(machines)
	}
	if refusal != nil {
		answer(h.refused(refusal))
		return
	}
	if !h.beginCommit(answer) {
		return
	}
	pages := h.paginate(machines)
	head := Head{
		Phase: PhaseRunning, CreatedAtMS: h.rt.WallClock().UnixMilli(), Digest: request.Digest(), Replace: request.Replace,
		Machines: len(machines), Pages: len(pages),
	}
	commit := &startCommit{requestHandler: h, request: request, head: head, pages: pages}
	commit.writePages(0)
}

// answerRepeated returns the answer to a request whose ID belongs to an existing drain;
// isRepeated is false if there is no such drain.
func (h *requestHandler) answerRepeated(request *Request) (response Response, isRepeated bool) {
	drain := h.records.Get(request.ID)
	if drain == nil {
		return Response{}, false
	}
	if drain.Head.Digest != request.Digest() {
		return h.refused(&RequestError{fieldID, fmt.Sprintf("drain %q exists with another selection or replace option", request.ID)}), true
	}
	return h.confirmed(request.ID), true
}

// checkBudgets refuses machines with a task or gang that exceeds its team's budget even when
// nothing else is disturbed.
func (h *requestHandler) checkBudgets(machines []MachineInfo) *RequestError {
	var refusal *RequestError
	h.eachDisturbed(machines, func(spec *jobs.Spec, amount Amount) {
		if err := h.budgets.ForTeam(spec.Team).EverAllows(spec.Team, amount); err != nil && refusal == nil {
			refusal = &RequestError{fieldBudget, "no task of job " + spec.ID + " could ever be moved: " + err.Error()}
		}
	})
	return refusal
}

// paginate divides the machines into pages that each fit into one value of the state
// service.
func (h *requestHandler) paginate(machines []MachineInfo) []Page {
	machinesPerPage := max(1, h.state.MaxValueBytes()/maxMachineBytes)
	var pages []Page
	for i, machine := range machines {
		if i%machinesPerPage == 0 {
			pages = append(pages, Page{})
		}
		page := &pages[len(pages)-1]
		page.Machines = append(page.Machines, Machine{ID: machine.ID})
	}
	return pages
}

// writePages commits the pages from firstPage on, then the head.
func (c *startCommit) writePages(firstPage int) {
	if firstPage == len(c.pages) {
		c.writeHead()
		return
	}
	existing := c.records.drains[c.request.ID]
	conditions := []statestore.Condition{{Key: HeadKey(c.request.ID)}}
	var operations []statestore.Operation
	valueBytes, nextPage := 0, firstPage
	for ; nextPage < len(c.pages) && len(operations) < c.state.MaxOperations(); nextPage++ {
		raw, err := encode(c.pages[nextPage])
		if err != nil || (len(operations) > 0 && valueBytes+len(raw) > tuning.MaxCommitBytes) {
			break
		}
		condition := statestore.Condition{Key: PageKey(c.request.ID, nextPage)}
		if existing != nil && existing.Pages[nextPage] != nil { // left by a request that was not accepted
			condition.Revision = existing.Pages[nextPage].Revision
		}
		valueBytes += len(raw)
		conditions = append(conditions, condition)
		operations = append(operations, statestore.Operation{PutKey: condition.Key, Value: raw})
	}
	c.committer.commit(conditions, operations, func(isCommitted bool) {
		if !isCommitted {
			c.reply(c.superseded())
			return
		}
		c.writePages(nextPage)
	})
}

// writeHead commits the head, which accepts the drain, and replies to the request.
func (c *startCommit) writeHead() {
	raw, err := encode(c.head)
	if err != nil {
		c.reply(c.unavailable(err.Error()))
		return
	}
	key := HeadKey(c.request.ID)
	c.committer.commit([]statestore.Condition{{Key: key}}, []statestore.Operation{{PutKey: key, Value: raw}}, func(bool) {
		// The reply depends on the records, not on the commit's result: a commit repeated after
		// a lost answer fails on its condition although the first attempt was carried out.
		response, isAccepted := c.answerRepeated(c.request)
		if !isAccepted {
			c.reply(c.superseded())
			return
		}
		c.log.Info("drain accepted", "drain", c.request.ID, "machines", c.head.Machines, "replace", c.head.Replace)
		c.reply(response)
	})
}

// phaseChange is the phase that a verb leads to and the phases in which it is allowed.
type phaseChange struct {
	to   Phase
	from []Phase
}

var phaseChanges = map[Verb]phaseChange{
	VerbPause:  {PhasePaused, []Phase{PhaseRunning}},
	VerbResume: {PhaseRunning, []Phase{PhasePaused}},
	VerbCancel: {PhaseCancelled, []Phase{PhaseRunning, PhasePaused}},
}

// changePhase pauses, resumes or cancels a drain.
func (h *requestHandler) changePhase(request *Request, answer func(Response)) {
	drain := h.records.Get(request.ID)
	if drain == nil {
		answer(h.unknownDrain(request.ID))
		return
	}
	change := phaseChanges[request.Verb]
	if drain.Head.Phase == change.to {
		answer(h.confirmed(request.ID)) // a repeated request
		return
	}
	if !slices.Contains(change.from, drain.Head.Phase) {
		answer(h.refused(&RequestError{fieldID, fmt.Sprintf("drain %q is %s: %s is not possible", request.ID, drain.Head.Phase, request.Verb)}))
		return
	}
	if !h.beginCommit(answer) {
		return
	}
	head := drain.Head
	head.Phase = change.to
	if head.Phase == PhaseCancelled {
		head.EndedAtMS, head.Released = h.rt.WallClock().UnixMilli(), drain.CountByState()[MachineReleased]
	}
	raw, err := encode(head)
	if err != nil {
		h.reply(h.unavailable(err.Error()))
		return
	}
	key := HeadKey(request.ID)
	h.committer.commit([]statestore.Condition{{Key: key, Revision: drain.Revision}}, []statestore.Operation{{PutKey: key, Value: raw}}, func(bool) {
		// As in writeHead, the reply depends on the records and not on the commit's result.
		if changed := h.records.Get(request.ID); changed == nil || changed.Head.Phase != change.to {
			h.reply(h.superseded())
			return
		}
		h.log.Info("drain changed", "drain", request.ID, "phase", string(change.to))
		h.reply(h.confirmed(request.ID))
	})
}
