package drain

import (
	"testing"

	"pgregory.net/rapid"
)

// TestParseKeyInvertsKeys checks that parseKey returns the parts that a key was made of, and
// an error for any other key.
func TestParseKeyInvertsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.StringMatching(`[a-z0-9][a-z0-9-]{0,39}`).Draw(t, "id")
		number := rapid.Uint64Range(0, 1<<30).Draw(t, "number")
		for raw, want := range map[string]recordKey{
			HeadKey(id):              {drainID: id, kind: headKind},
			PageKey(id, int(number)): {id, pageKind, number},
			GrantKey(id, number):     {id, grantKind, number},
		} {
			if got, err := parseKey(raw); err != nil || got != want {
				t.Fatalf("parseKey(%q) = %+v, %v, want %+v", raw, got, err, want)
			}
		}
		other := rapid.StringMatching(`drain/[A-Z/]{0,9}(/head|/page|/grant/x)?`).Draw(t, "other")
		if key, err := parseKey(other); err == nil {
			t.Fatalf("parseKey(%q) = %+v, want an error", other, key)
		}
	})
}
