package drain

import (
	"fmt"
	"math"
	"strings"

	"lemonmoor/internal/settings"
)

// Budget is how much of a team's work may be disturbed at once.
type Budget struct {
	Tasks      int
	CPUs       float64
	Share      float64 // of the processors of its running work
	ReplicasUp int     // of each service, at least
}

// Budgets holds the teams' budgets.
type Budgets struct {
	Default Budget
	Teams   map[string]Budget
}

// ForTeam finds a team's budget.
func (b *Budgets) ForTeam(team string) Budget {
	if own, ok := b.Teams[team]; ok {
		return own
	}
	return b.Default
}

// NewBudgets reads the budgets from the operators' settings.
func NewBudgets(drainSettings *settings.Drains) Budgets {
	unbounded := Budget{Tasks: math.MaxInt32, CPUs: math.Inf(1), Share: math.Inf(1)}
	budgets := Budgets{Default: unbounded, Teams: map[string]Budget{}}
	if drainSettings.Default != nil {
		budgets.Default = overlay(unbounded, &drainSettings.Default.Limits)
	}
	for i := range drainSettings.Teams {
		// What a team's block leaves out is the default's.
		budgets.Teams[drainSettings.Teams[i].Name] = overlay(budgets.Default, &drainSettings.Teams[i].Limits)
	}
	return budgets
}

func overlay(base Budget, limits *settings.DrainLimits) Budget {
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

// Amount is a number of tasks and the processors that they take.
type Amount struct {
	Tasks int     `json:"tasks"`
	CPUs  float64 `json:"cpus"`
}

// Plus is the sum of two amounts.
func (a Amount) Plus(b Amount) Amount { return Amount{a.Tasks + b.Tasks, a.CPUs + b.CPUs} }

// TeamUsage is how a team's budget stands.
type TeamUsage struct {
	Running  Amount `json:"running"`
	Chosen   Amount `json:"chosen"`   // granted, and not yet over
	Unchosen Amount `json:"unchosen"` // crashes, spot notices, cut-off machines
}

// Disturbed is all that uses the budget up.
func (u *TeamUsage) Disturbed() Amount { return u.Chosen.Plus(u.Unchosen) }

// slack covers sums of decimal amounts, which are not exact.
const slack = 1e-9

// Shortage is why a budget does not allow a disturbance.
type Shortage struct {
	Team      string
	Limit     string // the limit: tasks, cpus, share or replicas_up
	Used      float64
	Requested float64
	Max       float64
	Service   string // of which too few replicas would be up
}

// String is the reason as operators read it.
func (s *Shortage) String() string {
	if s.Limit == limitReplicasUp {
		return fmt.Sprintf("budget of team %s: %s: %g of service %s would be up, %g must be", s.Team, s.Limit, s.Requested, s.Service, s.Max)
	}
	return fmt.Sprintf("budget of team %s: %s: %g in use, %g more wanted, %g allowed", s.Team, s.Limit, s.Used, s.Requested, s.Max)
}

// Names of the limits, as in the settings.
const (
	limitTasks      = "tasks"
	limitCPUs       = "cpus"
	limitShare      = "share"
	limitReplicasUp = "replicas_up"
)

// Allows tells whether a team's budget has room for a further disturbance; nil if so.
func (b Budget) Allows(team string, usage *TeamUsage, requested Amount) *Shortage {
	used := usage.Disturbed()
	if used.Tasks+requested.Tasks > b.Tasks {
		return &Shortage{Team: team, Limit: limitTasks, Used: float64(used.Tasks), Requested: float64(requested.Tasks), Max: float64(b.Tasks)}
	}
	if used.CPUs+requested.CPUs > b.CPUs+slack {
		return &Shortage{Team: team, Limit: limitCPUs, Used: used.CPUs, Requested: requested.CPUs, Max: b.CPUs}
	}
	// What is disturbed belongs to the work that would run.
	maxCPUs := b.Share * (usage.Running.CPUs + used.CPUs)
	if !math.IsInf(b.Share, 1) && used.CPUs+requested.CPUs > maxCPUs+slack {
		return &Shortage{Team: team, Limit: limitShare, Used: used.CPUs, Requested: requested.CPUs, Max: maxCPUs}
	}
	return nil
}

// NeverAllows tells whether a budget could not allow a disturbance even with nothing else
// disturbed; nil if it could.
func (b Budget) NeverAllows(team string, requested Amount) *Shortage {
	alone := Budget{Tasks: b.Tasks, CPUs: b.CPUs, Share: math.Inf(1)}
	return alone.Allows(team, &TeamUsage{}, requested)
}

// String is the budget as operators read it.
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
