package drain

import (
	"fmt"
	"net/netip"
	"slices"

	"go4.org/netipx"
)

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
