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

// normalized returns the selection in a form that does not depend on the order of naming.
func (s Selection) normalized() Selection {
	sortedSet := func(list []string) []string {
		list = slices.Clone(list)
		slices.Sort(list)
		return slices.Compact(list)
	}
	return Selection{sortedSet(s.Machines), sortedSet(s.Zones), sortedSet(s.Types), s.Kind, sortedSet(s.Prefixes)}
}

// machineMatcher is a selection made ready to be applied.
type machineMatcher struct {
	selection   Selection
	foundByName map[string]bool // by name, whether a machine of it was found
	prefixes    *netipx.IPSet   // nil for any address
}

// newMatcher checks what a selection says by itself.
func newMatcher(selection Selection) (*machineMatcher, *RequestError) {
	if len(selection.Machines)+len(selection.Zones)+len(selection.Types)+len(selection.Prefixes) == 0 && selection.Kind == AnyKind {
		return nil, &RequestError{fieldSelection, "empty: name machines, zones, types, prefixes or a kind"}
	}
	if selection.Kind != AnyKind && selection.Kind != SpotKind && selection.Kind != OrdinaryKind {
		return nil, &RequestError{fieldKind, fmt.Sprintf("%q is neither spot nor ordinary", selection.Kind)}
	}
	prefixes, refusal := parsePrefixes(selection.Prefixes)
	if refusal != nil {
		return nil, refusal
	}
	m := &machineMatcher{selection: selection, prefixes: prefixes}
	if len(selection.Machines) > 0 {
		m.foundByName = map[string]bool{}
		for _, name := range selection.Machines {
			m.foundByName[name] = false
		}
	}
	return m, nil
}

// parsePrefixes returns the set of the addresses that have one of the prefixes; nil if
// there are no prefixes.
func parsePrefixes(texts []string) (*netipx.IPSet, *RequestError) {
	if len(texts) == 0 {
		return nil, nil
	}
	var builder netipx.IPSetBuilder
	for _, text := range texts {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, &RequestError{fieldPrefix, fmt.Sprintf("%q is not an IP prefix such as 10.1.0.0/24", text)}
		}
		builder.AddPrefix(prefix)
	}
	set, err := builder.IPSet()
	if err != nil {
		return nil, &RequestError{fieldPrefix, err.Error()}
	}
	return set, nil
}

// matches reports whether a machine is selected.
func (m *machineMatcher) matches(machine *MachineInfo) bool {
	if m.foundByName != nil {
		if _, isNamed := m.foundByName[machine.ID]; !isNamed {
			return false
		}
		m.foundByName[machine.ID] = true
	}
	if len(m.selection.Zones) > 0 && !slices.Contains(m.selection.Zones, machine.Zone) {
		return false
	}
	if len(m.selection.Types) > 0 && !slices.Contains(m.selection.Types, machine.Type) {
		return false
	}
	if (m.selection.Kind == SpotKind && !machine.Spot) || (m.selection.Kind == OrdinaryKind && machine.Spot) {
		return false
	}
	if m.prefixes == nil {
		return true
	}
	address, err := netip.ParseAddrPort(machine.Addr)
	return err == nil && m.prefixes.Contains(address.Addr().Unmap())
}

// missingMachine returns a named machine that does not exist, "" if there is none.
func (m *machineMatcher) missingMachine() string {
	for _, name := range m.selection.Machines {
		if !m.foundByName[name] {
			return name
		}
	}
	return ""
}

// selectMachines lists the machines of the cluster that a selection names.
func selectMachines(cluster Cluster, selection Selection) ([]MachineInfo, *RequestError) {
	matcher, refusal := newMatcher(selection)
	if refusal != nil {
		return nil, refusal
	}
	var machines []MachineInfo
	cluster.EachMachine(func(info *MachineInfo) {
		if matcher.matches(info) {
			machines = append(machines, *info)
		}
	})
	if name := matcher.missingMachine(); name != "" {
		return nil, &RequestError{fieldMachine, fmt.Sprintf("there is no machine %q", name)}
	}
	if len(machines) == 0 {
		return nil, &RequestError{fieldSelection, "no machine matches it"}
	}
	return machines, nil
}
