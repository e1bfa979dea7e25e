package drain

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// largeCluster has a number of machines, all up and without tasks, and counts how often it
// is asked about them.
type largeCluster struct {
	emptyCluster
	machines int
	queries  int
}

func (c *largeCluster) EachMachine(fn func(*MachineInfo)) {
	for i := range c.machines {
		info, _ := c.Machine(fmt.Sprintf("vm-%06d", i))
		fn(&info)
	}
}

func (c *largeCluster) Machine(id string) (MachineInfo, bool) {
	c.queries++
	return MachineInfo{ID: id, Zone: "a", Type: "small", HasReported: true, AcceptsTasks: true}, true
}

func (c *largeCluster) IsGone(string) bool {
	c.queries++
	return false
}

// TestDrainOfFourThousandMachines: it is accepted in commits and values that the state
// service takes, and a round asks a few times about each machine, no more.
func TestDrainOfFourThousandMachines(t *testing.T) {
	const machines, maxOperations, maxValueBytes = 4000, 12, 7000
	runtime := &fakeRuntime{}
	cluster := &largeCluster{machines: machines}
	coordinator := newTestCoordinator(runtime, cluster, 15)
	coordinator.state.SetLimits(statestore.Limits{MaxOperations: maxOperations, MaxValueBytes: maxValueBytes, FutureWriteShare: 1})
	coordinator.BeginTerm(7)
	runtime.runTimers()
	var answer *Response
	coordinator.Handle(&Request{Verb: VerbStart, ID: "all", Selection: Selection{Types: []string{"small"}}}, func(r Response) { answer = &r })
	revision, changes := uint64(10), 0
	for answered := 0; answer == nil && answered < 100; answered++ {
		if len(runtime.commits) <= answered {
			runtime.runTimers()
			continue
		}
		changes += applyCommit(t, coordinator.records, runtime.commits[answered].body, revision, maxOperations, maxValueBytes)
		runtime.commits[answered].answer(http1.Response{Status: 200, Body: []byte(fmt.Sprintf(`{"epoch":%d}`, revision))}, nil)
		revision++
		runtime.runTimers()
	}
	if answer == nil || answer.Status != StatusOK || coordinator.records.Get("all").CountByState()[MachineWaiting] != machines {
		t.Fatalf("%+v", answer)
	}
	if maxChanges := machines/(maxValueBytes/maxMachineBytes) + 2; changes > maxChanges {
		t.Errorf("%d changes, not %d", changes, maxChanges)
	}
	coordinator.committer.inFlight, cluster.queries = false, 0
	coordinator.writes.bucket.Reset(runtime.now, 3)
	coordinator.Tick()
	if cluster.queries < machines || cluster.queries > 4*machines {
		t.Errorf("a round asks %d times about %d machines", cluster.queries, machines)
	}
}

// applyCommit does what the state service does with a commit, and checks its limits.
func applyCommit(t *testing.T, records *Records, body string, revision uint64, maxOperations, maxValueBytes int) int {
	t.Helper()
	var commit struct {
		Apply []statestore.Operation `json:"apply"`
	}
	if err := json.Unmarshal([]byte(body), &commit); err != nil {
		t.Fatal(err)
	}
	if len(commit.Apply) > maxOperations || len(body) > tuning.MaxCommitBytes+8<<10 {
		t.Errorf("a commit of %d changes and %d bytes", len(commit.Apply), len(body))
	}
	for _, operation := range commit.Apply {
		if len(operation.Value) > maxValueBytes || !strings.HasPrefix(operation.PutKey, KeyPrefix) {
			t.Errorf("%s has %d bytes", operation.PutKey, len(operation.Value))
		}
		records.apply(operation.PutKey, operation.Value, revision)
	}
	return len(commit.Apply)
}
