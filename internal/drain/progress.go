package drain

import (
	"log/slog"
	"maps"
	"slices"
)

// stepName is the name of a drain's step in the log and the trace. Operators' tools match it.
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

// drainStep is a step of a drain, to be logged and traced once it is durable.
type drainStep struct {
	drainID   string
	machineID string // "" for a step of the drain as a whole
	name      stepName
	grant     *Grant // the grant of stepGranted, nil for other steps
}

// progressLog records the steps and wait reasons of the drains in the log and the trace.
type progressLog struct {
	log     *slog.Logger
	tracer  *Tracer
	cluster Cluster
	budgets Budgets

	waitReasons map[string][]string // by drain, as of the last pass
}

// reset discards the wait reasons and ends the spans at the end of a term.
func (p *progressLog) reset() {
	p.waitReasons = map[string][]string{}
	p.tracer.End()
}

// setWaitReasons replaces the wait reasons of all drains, and logs and traces those of the
// drains for which they have changed.
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

// stepsCommitted logs and traces the steps of a pass, which are durable now. usage is the
// usage of the budgets after these steps.
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

// logGrant logs a grant once for each team that has tasks in it, with the usage of the
// team's budget after the grant.
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
