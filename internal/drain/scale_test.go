package drain

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"

	"lemonmoor/internal/http1"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/statestore"
	"lemonmoor/internal/tuning"
)

// largeCluster has so many machines, all up and without tasks, and counts how often it is
// asked about them.
type largeCluster struct {
	emptyCluster
	machines int
	asked    int
}

func (c *largeCluster) EachMachine(fn func(*MachineInfo)) {
	for i := range c.machines {
		info, _ := c.Machine(fmt.Sprintf("vm-%06d", i))
		fn(&info)
	}
}

func (c *largeCluster) Machine(id string) (MachineInfo, bool) {
	c.asked++
	return MachineInfo{ID: id, Zone: "a", Type: "small", HasReported: true, AcceptsTasks: true}, true
}

func (c *largeCluster) IsGone(string) bool {
	c.asked++
	return false
}

// TestDrainOfFourThousandMachines: it is accepted in commits and values that the state
// service takes, and a round asks a few times about each machine, no more.
func TestDrainOfFourThousandMachines(t *testing.T) {
	const machines, ops, valueBytes = 4000, 12, 7000
	rt := &fakeRuntime{}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	state := statestore.New(rt, "state", log)
	state.SetLimits(statestore.Limits{MaxOperations: ops, MaxValueBytes: valueBytes, FutureWriteShare: 1})
	book := NewRecords(rt, state, log)
	book.Start()
	set := &settings.Settings{}
	set.Deployment.State.WriteRPS = 15
	set.Operator.Drains = &settings.Drains{}
	cluster := &largeCluster{machines: machines}
	c := NewCoordinator(Dependencies{
		Runtime: rt, State: state, Lease: cluster, Records: book, Cluster: cluster, Settings: set, Log: log,
	})
	c.BeginTerm(7)
	rt.fire()
	var answer *Response
	c.Handle(&Request{Verb: VerbStart, ID: "all", Selection: Selection{Types: []string{"small"}}}, func(r Response) { answer = &r })
	stamp, changes := uint64(10), 0
	for done := 0; answer == nil && done < 100; done++ {
		if len(rt.commits) <= done {
			rt.fire()
			continue
		}
		changes += carryOut(t, book, rt.commits[done].body, stamp, ops, valueBytes)
		rt.commits[done].answer(http1.Response{Status: 200, Body: []byte(fmt.Sprintf(`{"epoch":%d}`, stamp))}, nil)
		stamp++
		rt.fire()
	}
	if answer == nil || answer.Status != StatusOK || book.Get("all").CountByState()[MachineWaiting] != machines {
		t.Fatalf("%+v", answer)
	}
	if most := machines/(valueBytes/maxMachineBytes) + 2; changes > most {
		t.Errorf("%d changes, not %d", changes, most)
	}
	c.committer.inFlight, cluster.asked = false, 0
	c.writes.bucket.Reset(rt.now, 3)
	c.Tick()
	if cluster.asked < machines || cluster.asked > 4*machines {
		t.Errorf("a round asks %d times about %d machines", cluster.asked, machines)
	}
}

// carryOut does what the state service does with a commit, and checks its limits.
func carryOut(t *testing.T, book *Records, body string, stamp uint64, ops, valueBytes int) int {
	t.Helper()
	var commit struct {
		Apply []statestore.Operation `json:"apply"`
	}
	if err := json.Unmarshal([]byte(body), &commit); err != nil {
		t.Fatal(err)
	}
	if len(commit.Apply) > ops || len(body) > tuning.MaxCommitBytes+8<<10 {
		t.Errorf("a commit of %d changes and %d bytes", len(commit.Apply), len(body))
	}
	for _, a := range commit.Apply {
		if len(a.Value) > valueBytes || !strings.HasPrefix(a.PutKey, KeyPrefix) {
			t.Errorf("%s has %d bytes", a.PutKey, len(a.Value))
		}
		book.apply(a.PutKey, a.Value, stamp)
	}
	return len(commit.Apply)
}
