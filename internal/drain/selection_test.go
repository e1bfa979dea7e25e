package drain

import (
	"strings"
	"testing"
)

// TestSelection: each criterion picks what it says, and all of them together what each
// of them picks.
func TestSelection(t *testing.T) {
	machines := []MachineInfo{
		{ID: "vm-1", Addr: "10.1.0.1:9000", Zone: "a", Type: "small", Spot: true},
		{ID: "vm-2", Addr: "10.1.0.2:9000", Zone: "b", Type: "small"},
		{ID: "vm-3", Addr: "10.1.1.3:9000", Zone: "b", Type: "big"},
		{ID: "vm-4", Addr: "", Zone: "b", Type: "big", Spot: true},
	}
	for want, s := range map[string]Selection{
		"vm-1 vm-3":      {Machines: []string{"vm-3", "vm-1"}},
		"vm-2 vm-3 vm-4": {Zones: []string{"b"}},
		"vm-3 vm-4":      {Zones: []string{"b"}, Types: []string{"big"}},
		"vm-1 vm-4":      {Kind: SpotKind},
		"vm-2 vm-3":      {Kind: OrdinaryKind},
		"vm-1 vm-2":      {Prefixes: []string{"10.1.0.0/24"}},
		"vm-2":           {Prefixes: []string{"10.1.0.2/31", "10.9.0.0/16"}},
		"":               {Prefixes: []string{"fd00::/8"}},
	} {
		m, refusal := newMatcher(s)
		if refusal != nil {
			t.Fatal(refusal)
		}
		var got []string
		for i := range machines {
			if m.matches(&machines[i]) {
				got = append(got, machines[i].ID)
			}
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%+v picks %v, not %s", s, got, want)
		}
	}
	a := Request{Selection: Selection{Machines: []string{"x", "y"}}}
	b := Request{Selection: Selection{Machines: []string{"y", "x", "x"}}, ID: "other", Forwarded: true}
	c := Request{Selection: a.Selection, Replace: true}
	if a.Digest() != b.Digest() || a.Digest() == c.Digest() {
		t.Error("digests do not tell what is asked")
	}
}
