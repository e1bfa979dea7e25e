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

// largeCluster is a cluster of many machines, all up and without tasks. It counts the
// queries of single machines.
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

// TestDrainOfFourThousandMachines checks that a large drain is accepted in commits and values
// within the limits of the state service, and that a pass queries each machine at most four
// times, so that its time stays linear in the number of machines.
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
		t.Fatalf("answer %+v, want ok with all %d machines waiting", answer, machines)
	}
	if maxChanges := machines/(maxValueBytes/maxMachineBytes) + 2; changes > maxChanges {
		t.Errorf("accepting the drain took %d changes, want at most %d", changes, maxChanges)
	}
	coordinator.committer.inFlight, cluster.queries = false, 0
	coordinator.writes.bucket.Reset(runtime.now, 3)
	coordinator.Tick()
	if cluster.queries < machines || cluster.queries > 4*machines {
		t.Errorf("a pass made %d queries of %d machines, want between %d and %d", cluster.queries, machines, machines, 4*machines)
	}
}

// applyCommit checks a commit against the limits of the state service, applies it to the
// records and returns the number of its changes.
func applyCommit(t *testing.T, records *Records, body string, revision uint64, maxOperations, maxValueBytes int) int {
	t.Helper()
	var commit struct {
		Apply []statestore.Operation `json:"apply"`
	}
	if err := json.Unmarshal([]byte(body), &commit); err != nil {
		t.Fatal(err)
	}
	if len(commit.Apply) > maxOperations || len(body) > tuning.MaxCommitBytes+8<<10 {
		t.Errorf("commit of %d changes and %d bytes, want at most %d and %d", len(commit.Apply), len(body), maxOperations, tuning.MaxCommitBytes+8<<10)
	}
	for _, operation := range commit.Apply {
		if len(operation.Value) > maxValueBytes || !strings.HasPrefix(operation.PutKey, KeyPrefix) {
			t.Errorf("value of %d bytes at key %q, want at most %d and prefix %q", len(operation.Value), operation.PutKey, maxValueBytes, KeyPrefix)
		}
		records.apply(operation.PutKey, operation.Value, revision)
	}
	return len(commit.Apply)
}
