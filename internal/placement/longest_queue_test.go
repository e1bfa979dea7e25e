package placement

import "testing"

// TestPullsLastTaskOfLongestQueue checks that a machine whose own queue and the extra queue are
// empty pulls the last task of the longest queue, preferring queues with an image that it
// caches.
func TestPullsLastTaskOfLongestQueue(t *testing.T) {
	for _, test := range []struct {
		name   string
		caches []string
		want   string
	}{
		{"caches none", nil, "wk-5/2"},
		{"caches both", []string{"x", "y"}, "wk-5/2"},
		{"caches the shorter one's", []string{"x"}, "wk-4/0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newPlannerFixture(small, small, small)
			busy := fixture.addJob(1, "standard", "z", 4, 1)
			fixture.addJob(2, "standard", "x", 4, 1)
			fixture.addJob(3, "standard", "y", 4, 1)
			fixture.runRound()
			fixture.addJob(4, "standard", "x", 4, 1)
			fixture.addJob(5, "standard", "y", 4, 3)
			fixture.runRound()
			machine := fixture.Worker(busy[0].WorkerID)
			for _, image := range test.caches {
				machine.UseImage(image, 1)
			}
			fixture.endTask(busy[0])
			fixture.runRound()
			if len(machine.Tasks) != 1 {
				t.Fatalf("%s pulled %d tasks, want 1", machine.ID, len(machine.Tasks))
			}
			for task := range machine.Tasks {
				if task.Name() != test.want {
					t.Errorf("%s pulled %s, want %s", machine.ID, task.Name(), test.want)
				}
			}
		})
	}
}
