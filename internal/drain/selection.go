package drain

import (
	"fmt"
	"net/netip"
	"slices"

	"go4.org/netipx"
)

// MachineKind distinguishes spot machines from ordinary ones.
type MachineKind string

// The kinds of machines. AnyKind selects both others.
const (
	AnyKind      MachineKind = ""
	SpotKind     MachineKind = "spot"
	OrdinaryKind MachineKind = "ordinary"
)

// Selection selects machines. A machine must match each of the fields that are set.
type Selection struct {
	Machines []string    `json:"machines,omitempty"`
	Zones    []string    `json:"zones,omitempty"`
	Types    []string    `json:"types,omitempty"`
	Kind     MachineKind `json:"kind,omitempty"`
	Prefixes []string    `json:"prefixes,omitempty"` // IP prefixes of the workers' addresses
}

// normalized returns the selection with sorted lists without duplicates.
func (s Selection) normalized() Selection {
	sortedSet := func(list []string) []string {
		list = slices.Clone(list)
		slices.Sort(list)
		return slices.Compact(list)
	}
	return Selection{sortedSet(s.Machines), sortedSet(s.Zones), sortedSet(s.Types), s.Kind, sortedSet(s.Prefixes)}
}

// machineMatcher matches machines against a selection.
type machineMatcher struct {
	selection   Selection
	foundByName map[string]bool // by ID, whether the machine was found; nil if none are named
	prefixes    *netipx.IPSet   // nil for any address
}

// newMatcher validates a selection without regard to the cluster and returns its matcher.
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

// parsePrefixes returns the set of the addresses within the prefixes, nil if there are no
// prefixes.
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

// matches reports whether a machine is selected, and records it as found if it is named.
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

// missingMachine returns the first named machine that was not found, "" if all were. It must
// be called after matches has been called for every machine.
func (m *machineMatcher) missingMachine() string {
	for _, name := range m.selection.Machines {
		if !m.foundByName[name] {
			return name
		}
	}
	return ""
}

// selectMachines returns the machines of the cluster that a selection matches.
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
		return nil, &RequestError{fieldMachine, fmt.Sprintf("machine %q does not exist", name)}
	}
	if len(machines) == 0 {
		return nil, &RequestError{fieldSelection, "no machine matches the selection"}
	}
	return machines, nil
}
