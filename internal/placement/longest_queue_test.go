package placement

import "testing"

// TestLongestQueueGivesItsLastTask: a machine that finds its own queue and the extra queue
// empty takes the last task of the longest queue, of those with an image that it caches if
// there are any.
func TestLongestQueueGivesItsLastTask(t *testing.T) {
	for _, c := range []struct {
		name   string
		caches []string
		want   string
	}{
		{"caches none", nil, "wk-5/2"},
		{"caches both", []string{"x", "y"}, "wk-5/2"},
		{"caches the shorter one's", []string{"x"}, "wk-4/0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			y := newPlannerFixture(small, small, small)
			busy := y.addJob(1, "standard", "z", 4, 1)
			y.addJob(2, "standard", "x", 4, 1)
			y.addJob(3, "standard", "y", 4, 1)
			y.runRound()
			y.addJob(4, "standard", "x", 4, 1)
			y.addJob(5, "standard", "y", 4, 3)
			y.runRound()
			machine := y.Worker(busy[0].WorkerID)
			for _, image := range c.caches {
				machine.UseImage(image, 1)
			}
			y.endTask(busy[0])
			y.runRound()
			if len(machine.Tasks) != 1 {
				t.Fatalf("%d tasks are taken", len(machine.Tasks))
			}
			for task := range machine.Tasks {
				if task.Name() != c.want {
					t.Errorf("takes %s, not %s", task.Name(), c.want)
				}
			}
		})
	}
}
