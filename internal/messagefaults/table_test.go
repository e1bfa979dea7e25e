package messagefaults

import "testing"

// TestEveryAllowedFaultIsPlayedOrNamedAsAGap guards against a message fault that the protocol allows
// and that nobody knows to be untested.
func TestEveryAllowedFaultIsPlayedOrNamedAsAGap(t *testing.T) {
	for _, kind := range Kinds {
		for _, fault := range Faults {
			entry, known := Table[kind][fault]
			switch {
			case !known:
				t.Errorf("%s, %s: no entry", kind, fault)
			case entry.Allowed == "" && (len(entry.Players) > 0 || entry.Gap != ""):
				t.Errorf("%s, %s: not allowed, but with players or a gap", kind, fault)
			case entry.Allowed != "" && (len(entry.Players) > 0) == (entry.Gap != ""):
				t.Errorf("%s, %s: allowed, want players or a gap, and not both", kind, fault)
			}
		}
	}
}
