package drain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	"go4.org/netipx"
)

// RequestPath is where controllers take operators' requests on drains.
const RequestPath = "/operator/drain"

// Verb is what an operator asks for.
type Verb string

// The verbs.
const (
	VerbPlan   Verb = "plan"
	VerbStart  Verb = "start"
	VerbStatus Verb = "status"
	VerbPause  Verb = "pause"
	VerbResume Verb = "resume"
	VerbCancel Verb = "cancel"
)

// Request is an operator's request.
type Request struct {
	Verb      Verb      `json:"verb"`
	ID        string    `json:"id,omitempty"`
	Selection Selection `json:"selection"`
	Replace   bool      `json:"replace,omitempty"`
	// Forwarded: it comes from another controller, which took this one to lead.
	Forwarded bool `json:"forwarded,omitempty"`
}

// Digest tells whether two requests of the same id ask for the same.
func (r *Request) Digest() string {
	// Digests are stored and compared across versions: these names must stay.
	content := struct {
		Selection Selection `json:"Selection"`
		Replace   bool      `json:"Replace"`
	}{r.Selection.normalized(), r.Replace}
	raw, err := json.Marshal(content)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:16])
}

// MachineKind tells spot machines from ordinary ones.
type MachineKind string

// The kinds; AnyKind is both.
const (
	AnyKind      MachineKind = ""
	SpotKind     MachineKind = "spot"
	OrdinaryKind MachineKind = "ordinary"
)

// Selection picks machines. A machine must match each of the fields that are given.
type Selection struct {
	Machines []string    `json:"machines,omitempty"`
	Zones    []string    `json:"zones,omitempty"`
	Types    []string    `json:"types,omitempty"`
	Kind     MachineKind `json:"kind,omitempty"`
	Prefixes []string    `json:"prefixes,omitempty"` // of the workers' addresses
}

// normalized is the selection in a form that does not depend on the order of naming.
func (s Selection) normalized() Selection {
	sortedSet := func(list []string) []string {
		list = slices.Clone(list)
		slices.Sort(list)
		return slices.Compact(list)
	}
	return Selection{sortedSet(s.Machines), sortedSet(s.Zones), sortedSet(s.Types), s.Kind, sortedSet(s.Prefixes)}
}

// RequestError is a request that is refused for good.
type RequestError struct {
	Field  string
	Reason string
}

// Error names the field and the reason in one line.
func (e *RequestError) Error() string { return e.Field + ": " + e.Reason }

// ResponseStatus is how a request ended.
type ResponseStatus string

// The ways in which a request ends.
const (
	StatusOK          ResponseStatus = "ok"
	StatusRefused     ResponseStatus = "refused"     // for good
	StatusUnavailable ResponseStatus = "unavailable" // may be sent again
)

// Response answers a request.
type Response struct {
	Status ResponseStatus `json:"status"`
	Node   string         `json:"node"` // which answers
	Field  string         `json:"field,omitempty"`
	Reason string         `json:"reason,omitempty"`
	// RetryMS is when to ask again, with StatusUnavailable.
	RetryMS int64                `json:"retryMs,omitempty"`
	Drains  []View               `json:"drains,omitempty"`
	Teams   map[string]TeamState `json:"teams,omitempty"`
	Plan    *Plan                `json:"plan,omitempty"`
}

// View is a drain as operators see it.
type View struct {
	ID       string         `json:"id"`
	Phase    Phase          `json:"phase"`
	Replace  bool           `json:"replace"`
	Machines int            `json:"machines"`
	States   map[string]int `json:"states"`
	// Grants are the tasks that are disturbed now.
	Grants int `json:"disturbed"`
	// Waits is what it waits for, one line for each reason.
	Waits []string `json:"waits,omitempty"`
}

// TeamState is a team's budget and how it stands.
type TeamState struct {
	TeamUsage
	// Budget as text, since limits may be infinite.
	Budget string `json:"budget"`
}

// Plan is what a drain would disturb.
type Plan struct {
	Machines int                 `json:"machines"`
	Teams    map[string]TeamPlan `json:"teams"`
	Jobs     int                 `json:"jobs"`
}

// TeamPlan is the part of a plan that concerns one team.
type TeamPlan struct {
	Amount
	// Rounds is the least number of times that the budget has to be used up.
	Rounds int    `json:"rounds"`
	Budget string `json:"budget"`
}

// matcher is a selection made ready to be applied.
type matcher struct {
	selection   Selection
	foundByName map[string]bool // by name, whether a machine of it was found
	prefixes    *netipx.IPSet   // nil for any address
}

// newMatcher checks what a selection says by itself.
func newMatcher(selection Selection) (*matcher, *RequestError) {
	if len(selection.Machines)+len(selection.Zones)+len(selection.Types)+len(selection.Prefixes) == 0 && selection.Kind == AnyKind {
		return nil, &RequestError{"selection", "empty: name machines, zones, types, prefixes or a kind"}
	}
	if selection.Kind != AnyKind && selection.Kind != SpotKind && selection.Kind != OrdinaryKind {
		return nil, &RequestError{"kind", fmt.Sprintf("%q is neither spot nor ordinary", selection.Kind)}
	}
	result := &matcher{selection: selection}
	if len(selection.Machines) > 0 {
		result.foundByName = map[string]bool{}
		for _, name := range selection.Machines {
			result.foundByName[name] = false
		}
	}
	if len(selection.Prefixes) > 0 {
		var builder netipx.IPSetBuilder
		for _, text := range selection.Prefixes {
			prefix, err := netip.ParsePrefix(text)
			if err != nil {
				return nil, &RequestError{"prefix", fmt.Sprintf("%q is not an IP prefix such as 10.1.0.0/24", text)}
			}
			builder.AddPrefix(prefix)
		}
		set, err := builder.IPSet()
		if err != nil {
			return nil, &RequestError{"prefix", err.Error()}
		}
		result.prefixes = set
	}
	return result, nil
}

// matches tells whether a machine is selected.
func (m *matcher) matches(machine *MachineInfo) bool {
	selection := &m.selection
	if m.foundByName != nil {
		if _, named := m.foundByName[machine.ID]; !named {
			return false
		}
		m.foundByName[machine.ID] = true
	}
	if len(selection.Zones) > 0 && !slices.Contains(selection.Zones, machine.Zone) {
		return false
	}
	if len(selection.Types) > 0 && !slices.Contains(selection.Types, machine.Type) {
		return false
	}
	if (selection.Kind == SpotKind && !machine.Spot) || (selection.Kind == OrdinaryKind && machine.Spot) {
		return false
	}
	if m.prefixes == nil {
		return true
	}
	address, err := netip.ParseAddrPort(machine.Addr)
	return err == nil && m.prefixes.Contains(address.Addr().Unmap())
}

// missingMachine is a named machine that does not exist, "" if there is none.
func (m *matcher) missingMachine() string {
	for _, name := range m.selection.Machines {
		if !m.foundByName[name] {
			return name
		}
	}
	return ""
}
