package drain

import (
	"strings"
	"testing"
)

// TestSelectionMatchesAllItsCriteria checks each criterion by itself, and that a machine must
// match every criterion that is set.
func TestSelectionMatchesAllItsCriteria(t *testing.T) {
	machines := []MachineInfo{
		{ID: "vm-1", Addr: "10.1.0.1:9000", Zone: "a", Type: "small", Spot: true},
		{ID: "vm-2", Addr: "10.1.0.2:9000", Zone: "b", Type: "small"},
		{ID: "vm-3", Addr: "10.1.1.3:9000", Zone: "b", Type: "big"},
		{ID: "vm-4", Addr: "", Zone: "b", Type: "big", Spot: true},
	}
	for want, selection := range map[string]Selection{
		"vm-1 vm-3":      {Machines: []string{"vm-3", "vm-1"}},
		"vm-2 vm-3 vm-4": {Zones: []string{"b"}},
		"vm-3 vm-4":      {Zones: []string{"b"}, Types: []string{"big"}},
		"vm-1 vm-4":      {Kind: SpotKind},
		"vm-2 vm-3":      {Kind: OrdinaryKind},
		"vm-1 vm-2":      {Prefixes: []string{"10.1.0.0/24"}},
		"vm-2":           {Prefixes: []string{"10.1.0.2/31", "10.9.0.0/16"}},
		"":               {Prefixes: []string{"fd00::/8"}},
	} {
		matcher, refusal := newMatcher(selection)
		if refusal != nil {
			t.Fatal(refusal)
		}
		var got []string
		for i := range machines {
			if matcher.matches(&machines[i]) {
				got = append(got, machines[i].ID)
			}
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%+v selects %v, want %s", selection, got, want)
		}
	}
}

// TestDigestDependsOnlyOnSelectionAndReplace checks that the digest does not depend on the
// order or repetition of the selection's entries, on the drain's ID or on forwarding: a
// repeated start must be recognized.
func TestDigestDependsOnlyOnSelectionAndReplace(t *testing.T) {
	request := Request{Selection: Selection{Machines: []string{"x", "y"}}}
	same := Request{Selection: Selection{Machines: []string{"y", "x", "x"}}, ID: "other", Forwarded: true}
	withReplacement := Request{Selection: request.Selection, Replace: true}
	if request.Digest() != same.Digest() {
		t.Error("equivalent requests have different digests")
	}
	if request.Digest() == withReplacement.Digest() {
		t.Error("requests with and without replacement have the same digest")
	}
}
