package httpwire

import "testing"

// TestSurfaceErrorBody: how refusals say why.
func TestSurfaceErrorBody(t *testing.T) {
	if got := string(ErrorBody(`not "this"`)); got != `{"error":"not \"this\""}` {
		t.Error(got)
	}
}
