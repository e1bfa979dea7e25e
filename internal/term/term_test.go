package term

import "testing"

// TestGuardedCallsEndWithTheirTerm checks that guarded functions call through during their
// term and do nothing after it, while functions guarded in the new term work again.
func TestGuardedCallsEndWithTheirTerm(t *testing.T) {
	var counter Counter
	calls := 0
	count := counter.Guard(func() { calls++ })
	add := GuardValue(&counter, func(n int) { calls += n })
	result := GuardResult(&counter, func(n int, _ error) { calls += n })
	count()
	add(10)
	result(100, nil)
	if calls != 111 {
		t.Fatalf("within the term: sum of the calls is %d, want 111", calls)
	}
	counter.Advance()
	count()
	add(10)
	result(100, nil)
	if calls != 111 {
		t.Errorf("after the term: sum of the calls is %d, want 111", calls)
	}
	counter.Guard(func() { calls++ })()
	if calls != 112 {
		t.Errorf("in the next term: sum of the calls is %d, want 112", calls)
	}
}

// TestTermMayEndWithinAGuardedCall checks that a guarded function that ends its own term runs
// only once.
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
		t.Errorf("guarded function called %d times, want 1", calls)
	}
}
