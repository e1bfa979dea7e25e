package drain

import (
	"fmt"
	"math"
	"strings"

	"lemonmoor/internal/resource"
	"lemonmoor/internal/settings"
)

// Budget limits how much of a team's work may be disturbed at the same time. All of its
// limits apply.
type Budget struct {
	Tasks      int     // math.MaxInt32 without a limit
	CPUs       float64 // processors of the disturbed tasks, +Inf without a limit
	Share      float64 // of the processors of running and disturbed work, +Inf without a limit
	ReplicasUp int     // least number of replicas of each service that stay up
}

// Budgets holds the budgets of all teams.
type Budgets struct {
	Default Budget
	Teams   map[string]Budget
}

// ForTeam returns a team's own budget, or the default if it has none.
func (b *Budgets) ForTeam(team string) Budget {
	if own, ok := b.Teams[team]; ok {
		return own
	}
	return b.Default
}

// NewBudgets returns the budgets that the operators' settings define. Limits that are not
// set are unlimited.
func NewBudgets(drainSettings *settings.Drains) Budgets {
	unbounded := Budget{Tasks: math.MaxInt32, CPUs: math.Inf(1), Share: math.Inf(1)}
	budgets := Budgets{Default: unbounded, Teams: map[string]Budget{}}
	if drainSettings.Default != nil {
		budgets.Default = withLimits(unbounded, &drainSettings.Default.Limits)
	}
	for i := range drainSettings.Teams {
		// A limit that the team's block leaves out is taken from the default budget.
		budgets.Teams[drainSettings.Teams[i].Name] = withLimits(budgets.Default, &drainSettings.Teams[i].Limits)
	}
	return budgets
}

// withLimits returns base with the limits replaced that are set.
func withLimits(base Budget, limits *settings.DrainLimits) Budget {
	if limits.Tasks != nil {
		base.Tasks = *limits.Tasks
	}
	if limits.CPUs != nil {
		base.CPUs = *limits.CPUs
	}
	if limits.Share != nil {
		base.Share = *limits.Share
	}
	if limits.ReplicasUp != nil {
		base.ReplicasUp = *limits.ReplicasUp
	}
	return base
}

// Amount is a number of tasks and the processors that they use.
type Amount struct {
	Tasks int     `json:"tasks"`
	CPUs  float64 `json:"cpus"`
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(other Amount) Amount { return Amount{a.Tasks + other.Tasks, a.CPUs + other.CPUs} }

// TeamUsage is a team's running work and the disturbances that count against its budget.
type TeamUsage struct {
	Running  Amount `json:"running"`
	Chosen   Amount `json:"chosen"`   // granted to drains and still disturbed
	Unchosen Amount `json:"unchosen"` // disturbed by crashes, spot notices and unreachable machines
}

// Disturbed returns the amount that counts against the budget, whatever its cause.
func (u *TeamUsage) Disturbed() Amount { return u.Chosen.Plus(u.Unchosen) }

// ShortageError reports the limit of a budget that does not allow a disturbance.
type ShortageError struct {
	Team string
	// Limit is the name of the limit, as in the settings: tasks, cpus, share or replicas_up.
	Limit string
	// Used, Requested and Max are tasks or processors. For replicas_up, Requested is the
	// number of replicas that would stay up (0 if the reports of lost replicas are incomplete)
	// and Max the number that must; Used is 0.
	Used      float64
	Requested float64
	Max       float64
	Service   string // service with too few replicas, set for replicas_up alone
}

// Error returns the reason as operators read it.
func (e *ShortageError) Error() string {
	if e.Limit == limitReplicasUp {
		return fmt.Sprintf("budget of team %s: %s: %g of service %s would be up, %g must be (a replica of unknown state does not count as up)", e.Team, e.Limit, e.Requested, e.Service, e.Max)
	}
	return fmt.Sprintf("budget of team %s: %s: %g in use, %g more requested, %g allowed", e.Team, e.Limit, e.Used, e.Requested, e.Max)
}

// Names of the limits, as in the settings.
const (
	limitTasks      = "tasks"
	limitCPUs       = "cpus"
	limitShare      = "share"
	limitReplicasUp = "replicas_up"
)

// Allows returns a *ShortageError if the requested disturbance, on top of the usage, would
// exceed the budget. It does not check ReplicasUp.
func (b Budget) Allows(team string, usage *TeamUsage, requested Amount) error {
	used := usage.Disturbed()
	if used.Tasks+requested.Tasks > b.Tasks {
		return &ShortageError{Team: team, Limit: limitTasks, Used: float64(used.Tasks), Requested: float64(requested.Tasks), Max: float64(b.Tasks)}
	}
	if used.CPUs+requested.CPUs > b.CPUs+resource.Epsilon {
		return &ShortageError{Team: team, Limit: limitCPUs, Used: used.CPUs, Requested: requested.CPUs, Max: b.CPUs}
	}
	// Disturbed tasks would run otherwise, so the share is of running and disturbed work.
	maxCPUs := b.Share * (usage.Running.CPUs + used.CPUs)
	if !math.IsInf(b.Share, 1) && used.CPUs+requested.CPUs > maxCPUs+resource.Epsilon {
		return &ShortageError{Team: team, Limit: limitShare, Used: used.CPUs, Requested: requested.CPUs, Max: maxCPUs}
	}
	return nil
}

// EverAllows returns a *ShortageError if the budget does not allow a disturbance even when
// nothing else is disturbed. The share is not checked, since it depends on the work that
// runs.
func (b Budget) EverAllows(team string, requested Amount) error {
	withoutShare := Budget{Tasks: b.Tasks, CPUs: b.CPUs, Share: math.Inf(1)}
	return withoutShare.Allows(team, &TeamUsage{}, requested)
}

// rounds returns the least number of times that the budget has to be used up to disturb an
// amount.
func (b Budget) rounds(amount Amount) int {
	return max(1, int(math.Ceil(max(float64(amount.Tasks)/float64(b.Tasks), amount.CPUs/b.CPUs)-resource.Epsilon)))
}

// String returns the budget as operators read it.
func (b Budget) String() string {
	var parts []string
	if b.Tasks != math.MaxInt32 {
		parts = append(parts, fmt.Sprintf("%s %d", limitTasks, b.Tasks))
	}
	if !math.IsInf(b.CPUs, 1) {
		parts = append(parts, fmt.Sprintf("%s %g", limitCPUs, b.CPUs))
	}
	if !math.IsInf(b.Share, 1) {
		parts = append(parts, fmt.Sprintf("%s %g", limitShare, b.Share))
	}
	if b.ReplicasUp > 0 {
		parts = append(parts, fmt.Sprintf("%s %d", limitReplicasUp, b.ReplicasUp))
	}
	if len(parts) == 0 {
		return "unlimited"
	}
	return strings.Join(parts, ", ")
}
