package term

import "testing"

func TestGuardedCallsEndWithTheirTerm(t *testing.T) {
	var counter Counter
	calls := 0
	count := counter.Guard(func() { calls++ })
	add := GuardValue(&counter, func(n int) { calls += n })
	count()
	add(10)
	if calls != 11 {
		t.Fatalf("within the term: %d, want 11", calls)
	}
	counter.Advance()
	count()
	add(10)
	if calls != 11 {
		t.Errorf("after the term: %d, want 11", calls)
	}
	counter.Guard(func() { calls++ })()
	if calls != 12 {
		t.Errorf("in the next term: %d, want 12", calls)
	}
}

func TestTermMayEndWithinAGuardedCall(t *testing.T) {
	var counter Counter
	calls := 0
	step := counter.Guard(func() {
		calls++
		counter.Advance()
	})
	step()
	step()
	if calls != 1 {
		t.Errorf("called %d times, want 1", calls)
	}
}
