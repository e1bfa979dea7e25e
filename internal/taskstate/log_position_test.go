package taskstate

import "testing"

// TestLogPositionFollowsTheReadersOfTheLog guards against an owner that takes a status from another
// page than the readers: the newest status decides, and of equal ones the highest revision.
func TestLogPositionFollowsTheReadersOfTheLog(t *testing.T) {
	placed := TaskStatus{State: StatePlaced, Attempt: 2}
	for _, test := range []struct {
		name     string
		status   TaskStatus
		revision uint64
		want     bool
	}{
		{"an older status at a higher revision", TaskStatus{State: StateWaiting, Attempt: 1}, 11, false},
		{"a newer status at a lower revision", TaskStatus{State: StateDone, Attempt: 1}, 9, true},
		{"the same status at a lower revision", placed, 9, false},
		{"the same status at a higher revision", placed, 11, true},
	} {
		position := LogPosition{Page: 1}
		position.Record(1, placed, 10)
		if got := position.Record(2, test.status, test.revision); got != test.want || (position.Page == 2) != test.want {
			t.Errorf("%s: moved %v to page %d, want %v", test.name, got, position.Page, test.want)
		}
	}
}
