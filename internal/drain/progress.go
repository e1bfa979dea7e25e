package drain

import (
	"log/slog"
	"maps"
	"slices"
)

// stepName names a step of a drain in the log and in the trace, where operators' tools
// look for it.
type stepName string

const (
	stepGranted           stepName = "granted"
	stepDone              stepName = "done"
	stepReplacing         stepName = "replacing"
	stepReplacementRented stepName = "replacement rented"
	stepReplacementLost   stepName = "replacement lost"
	stepClosed            stepName = "closed"
	stepReopened          stepName = "reopened until a machine is rented for its work"
	stepReleased          stepName = "released"
)

// drainStep is something to be logged and traced once it is durable.
type drainStep struct {
	drainID   string
	machineID string // "" for a step of the drain as a whole
	name      stepName
	grant     *Grant // of stepGranted, nil for other steps
}

// progressLog tells operators in the log and in the trace what the drains do and what they
// wait for.
type progressLog struct {
	log     *slog.Logger
	tracer  *Tracer
	cluster Cluster
	budgets Budgets

	waitReasons map[string][]string // by drain, as of the newest round
}

// reset forgets all drains at the end of a term, and ends their spans.
func (p *progressLog) reset() {
	p.waitReasons = map[string][]string{}
	p.tracer.End()
}

// setWaitReasons takes what the drains wait for now, and tells of those drains for which
// that has changed.
func (p *progressLog) setWaitReasons(waitReasons map[string][]string) {
	for drainID, reasons := range waitReasons {
		if slices.Equal(reasons, p.waitReasons[drainID]) {
			continue
		}
		for _, reason := range reasons {
			p.log.Info("drain waits", "drain", drainID, "reason", reason)
		}
		p.tracer.RecordWaitReasons(drainID, reasons)
	}
	p.waitReasons = waitReasons
}

// stepsCommitted tells of the steps of a round that are durable; usage is how the budgets
// stand with them.
func (p *progressLog) stepsCommitted(steps []drainStep, usage *budgetUsage) {
	for _, step := range steps {
		if step.grant == nil {
			p.log.Info("drain step", "drain", step.drainID, "machine", step.machineID, "step", string(step.name))
		} else {
			p.logGrant(step, usage)
		}
		p.tracer.RecordStep(step, usage)
	}
}

// logGrant tells how the budgets of the teams concerned stand after a grant.
func (p *progressLog) logGrant(granted drainStep, usage *budgetUsage) {
	teams := map[string]bool{}
	for _, ref := range granted.grant.Tasks {
		if spec, isOpen := p.cluster.Job(ref.Job); isOpen {
			teams[spec.Team] = true
		}
	}
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		used, budget := usage.team(team), p.budgets.ForTeam(team)
		p.log.Info("drain granted", "drain", granted.drainID, "machine", granted.machineID, "tasks", len(granted.grant.Tasks), "team", team,
			"chosen", used.Chosen.Tasks, "unchosen", used.Unchosen.Tasks, "cpus", used.Disturbed().CPUs, "budget", budget.String())
	}
}
