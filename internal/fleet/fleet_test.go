package fleet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// manualRuntime is a runtime on which nothing happens by itself: timers wait for the test.
type manualRuntime struct {
	now     time.Duration
	calls   []http1.ClientRequest
	answers []func(http1.Response, error)
	timers  []func()
}

func (s *manualRuntime) Now() time.Duration   { return s.now }
func (s *manualRuntime) WallClock() time.Time { return time.UnixMilli(0) }
func (s *manualRuntime) Rand() float64        { return 0.5 }
func (s *manualRuntime) After(_ time.Duration, fn func()) {
	s.timers = append(s.timers, fn)
}

func (s *manualRuntime) CallHTTP(_ string, c http1.ClientRequest, _ time.Duration, fn func(http1.Response, error)) {
	s.calls = append(s.calls, c)
	s.answers = append(s.answers, fn)
}
func (s *manualRuntime) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {}

// fireTimers lets the timers run that are set now.
func (s *manualRuntime) fireTimers() {
	timers := s.timers
	s.timers = nil
	for _, fn := range timers {
		fn()
	}
}

var _ eventloop.Runtime = (*manualRuntime)(nil)

// fixedLeases is the leader's lease; out: its lease has run out.
type fixedLeases struct{ expired bool }

func (fixedLeases) LeaderToken() uint64 { return 7 }
func (l fixedLeases) LeaseValid() bool  { return !l.expired }

// loadsFunc is a source of loads made of a function.
type loadsFunc func(machineID string) MachineLoad

func (f loadsFunc) MachineLoad(machineID string) MachineLoad { return f(machineID) }

// newFleet returns a fleet with nothing on its machines.
func newFleet(runtime eventloop.Runtime, leases Leases, settings *settings.Settings) *Fleet {
	return New(Dependencies{
		Runtime: runtime, Address: "cloud", Leases: leases, Settings: settings, Log: slog.New(slog.DiscardHandler),
		Loads: loadsFunc(func(string) MachineLoad { return MachineLoad{} }),
	})
}

// TestMachinesKnownFromRecordsAreNotReleased guards against a fault seen on a rough day: a new
// owner, which knew the machines from its records only, made the leader return
// all of them as never booted, with their tasks.
func TestMachinesKnownFromRecordsAreNotReleased(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	fleet := newFleet(runtime, fixedLeases{}, &settings.Settings{})
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	fleet.machines.byID["vm-1"] = &machine{id: "vm-1", kind: MachineKind{MachineType: "g8"}, rentedAt: 0, listing: machineListing{listed: true}}
	fleet.machines.byID["vm-2"] = &machine{id: "vm-2", kind: MachineKind{MachineType: "g8"}, rentedAt: 0, listing: machineListing{listed: true, booting: true}}
	fleet.HandleStatus(&ShardStatus{Full: true, Hosts: []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true, Busy: true}}})
	runtime.now += time.Second
	fleet.HandleStatus(&ShardStatus{Full: true, Token: 9, Hosts: []MachineStatus{{ID: "vm-1", Busy: true}}})
	fleet.evaluateMachines()
	if m := fleet.machines.byID["vm-1"]; m.release.requested {
		t.Errorf("a machine with tasks is returned: %s", m.release.reason)
	}
	if m := fleet.machines.byID["vm-2"]; !m.release.requested {
		t.Error("a machine that has been booting for an hour is kept")
	}
}

// TestOverdueMachineIsNotAvailable guards against a fault of a rough day: machines that
// died while all controllers were down stayed in the lists as running, counted
// as about to come, and for half a minute nothing was rented in their place.
func TestOverdueMachineIsNotAvailable(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Workers.ReportS = 10
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	for _, id := range []string{"vm-1", "vm-2"} {
		fleet.machines.byID[id] = &machine{id: id, kind: MachineKind{MachineType: "g8"}, rentedAt: runtime.now, listing: machineListing{listed: true, runningSince: runtime.now}}
	}
	available := func() (n int) {
		fleet.EachAvailable(func(*AvailableMachine) { n++ })
		return n
	}
	for s := range 25 {
		fleet.HandleStatus(&ShardStatus{Full: s == 0, Seq: uint64(s), Hosts: []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}}})
		if s == 3 && available() != 2 {
			t.Error("a machine that may report any moment is no room")
		}
		runtime.now += time.Second
	}
	if n := available(); n != 1 {
		t.Errorf("%d rooms, one machine is dead", n)
	}
	fleet.evaluateMachines()
	if !fleet.machines.byID["vm-2"].release.requested || fleet.machines.byID["vm-1"].release.requested {
		t.Error("the dead machine is kept, or the live one returned")
	}
}

// TestBacklogIsRentedForInFewCalls: a large backlog is rented for in few calls within the
// cloud's budget, and what is under way is not rented for again.
func TestBacklogIsRentedForInFewCalls(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Cloud.RPS = 4
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.7, BootSeconds: 50, Zones: []string{"a", "b"}}}
	job := &jobs.Spec{CPUs: 16, MemoryGB: 35, Spot: true, EstimateSeconds: 40, Tasks: 400}
	requests := map[string]int{}
	total := 0
	for second := range 40 {
		runtime.now += time.Second
		availableCPUs := 0.0
		fleet.EachAvailable(func(r *AvailableMachine) { availableCPUs += r.MachineType.CPUs })
		waiting := max(0, 800-int(availableCPUs/16))
		fleet.SetDemand([]Demand{{Spec: job, Tasks: waiting / 2, ObjectiveSlackSeconds: []float64{100}}, {Spec: job, Tasks: waiting - waiting/2, ObjectiveSlackSeconds: []float64{100}}}, nil)
		first := len(runtime.calls)
		fleet.rentForDemand()
		// The cloud allows four a second and bursts of two seconds' worth.
		if n := len(runtime.calls); n > 8+4*second {
			t.Fatalf("%d calls in %d seconds", n, second)
		}
		for i := first; i < len(runtime.calls); i++ {
			var request rentalRequest
			if err := json.Unmarshal(runtime.calls[i].Body, &request); err != nil || request.Number < 1 || request.Number > 50 {
				t.Fatalf("asked for %+v, %v", request, err)
			}
			requests[request.Name]++
			total += request.Number
		}
	}
	// Two tasks to a machine; what is left may wait for half a boot.
	if wait := float64(800-2*total) * 16 * 40 / (float64(total) * 32); total > 400 || wait > 25 || len(requests) > 10 {
		t.Errorf("%d machines in %d calls for 800 tasks, the rest waits %.0f s", total, len(requests), wait)
	}
	for name, n := range requests {
		if n > 1 {
			t.Errorf("request %s was used %d times", name, n)
		}
	}
}

// TestPartitionedZone guards against faults of two days on which a zone was cut off:
// its machines were returned, hundreds were rented anew in that same zone, where
// they could not report, and when it was back those left were returned at the
// first sign of life.
func TestPartitionedZone(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Workers.ReportS, config.Deployment.Cloud.RPS = 10, 100
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, MemoryGB: 32, SpotPrice: 1, Price: 3, BootSeconds: 20, Zones: []string{"a", "b"}}}
	message := &ShardStatus{Full: true, ReachableZones: []string{"a", "b"}}
	for i := range 90 {
		zone := "a"
		if i%3 > 0 {
			zone = "b"
		}
		message.Hosts = append(message.Hosts, MachineStatus{ID: fmt.Sprint("vm-", i), MachineType: "g8", Zone: zone, HasReported: true, AcceptsTasks: true, Busy: true})
	}
	fleet.term.listed = true
	second := func(lit ...string) {
		runtime.now += time.Second
		message.Seq++
		message.ReachableZones = lit
		fleet.HandleStatus(message)
		fleet.evaluateMachines()
	}
	count := func() (rooms, returned int) {
		fleet.EachAvailable(func(*AvailableMachine) { rooms++ })
		for _, m := range fleet.machines.byID {
			if m.release.requested {
				returned++
			}
		}
		return rooms, returned
	}
	for range 30 {
		second("a", "b")
	}
	for s := range 60 { // zone b: most of the machines
		for i := range message.Hosts {
			if request := &message.Hosts[i]; request.Zone == "b" && s > 7+i%12 {
				request.AcceptsTasks, request.ReleaseReason = false, workers.ReleaseSilent
				if i%2 == 0 {
					request.ReleaseReason = workers.ReleaseSilentUrgent
				}
			}
		}
		second("a")
	}
	if rooms, returned := count(); rooms != 30 || returned != 0 {
		t.Errorf("%d rooms, %d machines returned", rooms, returned)
	}
	fleet.SetDemand([]Demand{{Spec: &jobs.Spec{CPUs: 4, MemoryGB: 4, Spot: true, EstimateSeconds: 40}, Tasks: 500, ObjectiveSlackSeconds: []float64{60}}}, nil)
	first := len(runtime.calls)
	fleet.rentForDemand()
	for _, c := range runtime.calls[first:] {
		var request rentalRequest
		if err := json.Unmarshal(c.Body, &request); err != nil || request.Zone != "a" {
			t.Errorf("asked for %s", c.Body)
		}
	}
	if len(runtime.calls) == first {
		t.Error("nothing is rented in the other zone")
	}
	for s := range 12 { // back, and they report one after the other
		for i := range message.Hosts {
			if i%12 == s {
				message.Hosts[i].AcceptsTasks, message.Hosts[i].ReleaseReason = true, ""
			}
		}
		second("a", "b")
	}
	if rooms, returned := count(); rooms < 90 || returned != 0 {
		t.Errorf("after the cut %d rooms, %d machines returned", rooms, returned)
	}
	// A small zone's machines with urgent tasks go back at once, the others
	// when the zone has been cut off for very long.
	for s := range int(tuning.ZonePartitionRetention/time.Second) + 20 {
		for i := range message.Hosts {
			if request := &message.Hosts[i]; request.Zone == "a" && s > 7+i%12 {
				request.AcceptsTasks, request.ReleaseReason = false, workers.ReleaseSilent
				if i%2 == 0 {
					request.ReleaseReason = workers.ReleaseSilentUrgent
				}
			}
		}
		second("b")
		if _, returned := count(); s == 40 && returned != 15 {
			t.Errorf("%d machines of the small zone returned, 15 may have urgent tasks", returned)
		}
	}
	if _, returned := count(); returned != 30 {
		t.Errorf("%d machines of a zone that does not come back returned", returned)
	}
}

// TestIdleTimeInAnOutageDoesNotCount guards against a fault of a day with a long outage of the
// state service: nothing could be handed out, all machines became idle, and when
// it was over they were returned at once, two thousand of them.
func TestIdleTimeInAnOutageDoesNotCount(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Workers.ReportS = 10
	lease := &fixedLeases{}
	fleet := newFleet(runtime, lease, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	fleet.BeginTerm()
	runtime.now += time.Hour
	message := &ShardStatus{Full: true}
	for i := range 40 {
		message.Hosts = append(message.Hosts, MachineStatus{ID: fmt.Sprint("vm-", i), MachineType: "g8", HasReported: true, AcceptsTasks: true})
	}
	second := func() {
		runtime.now += time.Second
		for i := range message.Hosts {
			message.Hosts[i].IdleMS += 1000
		}
		message.Seq++
		fleet.HandleStatus(message)
		fleet.runRound()
	}
	drained := func() (n int) {
		for _, m := range fleet.machines.byID {
			if m.drainReason != "" {
				n++
			}
		}
		return n
	}
	second()
	lease.expired = true
	for range 60 {
		second()
	}
	lease.expired = false
	for range 8 {
		second()
	}
	if n := drained(); n > 0 {
		t.Errorf("%d machines go back right after the outage", n)
	}
	for range int(tuning.MachineIdleTimeout / time.Second) {
		second()
	}
	if drained() == 0 {
		t.Error("machines that stay idle are kept for ever")
	}
}

// BenchmarkByMachineCount shows what the leader's look at all machines and an owner's
// word cost, by the number of machines.
func BenchmarkByMachineCount(b *testing.B) {
	for _, machines := range []int{1000, 2000, 4000} {
		runtime := &manualRuntime{now: time.Hour}
		config := &settings.Settings{}
		config.Deployment.Workers.ReportS = 10
		fleet := newFleet(runtime, fixedLeases{}, config)
		fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
		message := &ShardStatus{Full: true, ReachableZones: []string{"a", "b"}}
		for i := range machines {
			message.Hosts = append(message.Hosts, MachineStatus{ID: fmt.Sprintf("vm-%06d", i), MachineType: "g8", Zone: "ab"[i%2 : i%2+1], HasReported: true, AcceptsTasks: true, Busy: true})
		}
		fleet.HandleStatus(message)
		b.Run(fmt.Sprint("rooms of ", machines), func(b *testing.B) {
			for b.Loop() {
				fleet.EachAvailable(func(*AvailableMachine) {})
			}
		})
		b.Run(fmt.Sprint("judge ", machines), func(b *testing.B) {
			for b.Loop() {
				fleet.evaluateMachines()
			}
		})
		message.Full, message.Hosts = false, message.Hosts[:machines/20]
		b.Run(fmt.Sprint("word of a twentieth of ", machines), func(b *testing.B) {
			for b.Loop() {
				message.Seq++
				fleet.HandleStatus(message)
			}
		})
	}
}

// TestLateStatusIsDropped guards against a fault of a generated day: a message of
// an owner that was held back for half a minute brought back a machine that had
// been returned. It counted as room for ever, and nothing was rented for a gang
// that waited for it.
func TestLateStatusIsDropped(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	fleet := newFleet(runtime, fixedLeases{}, &settings.Settings{})
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	ghost := []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}}
	fleet.HandleStatus(&ShardStatus{Full: true, Token: 9, Seq: 40})
	for _, d := range []*ShardStatus{{Token: 9, Seq: 12, Hosts: ghost}, {Full: true, Token: 9, Seq: 13, Hosts: ghost}, {Full: true, Token: 8, Seq: 90, Hosts: ghost}} {
		fleet.HandleStatus(d)
	}
	fleet.EachAvailable(func(r *AvailableMachine) { t.Errorf("%s is room", r.ID) })
	if r := fleet.HandleStatus(&ShardStatus{Token: 9, Seq: 41}); r.Full {
		t.Error("the owner is asked to tell all anew")
	}
}

// TestMachineThatNoListHadIsReleased guards against a fault of a generated day: a machine that
// the cloud took before any list had it counted as one that boots, and work waited
// for it for ever.
func TestMachineThatNoListHadIsReleased(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Cloud.ListLagS = 10
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	fleet.term.listed = true
	fleet.machines.byID["vm-1"] = &machine{id: "vm-1", kind: MachineKind{MachineType: "g8"}, rentedAt: runtime.now}
	for _, test := range []struct {
		after time.Duration
		back  bool
	}{{50 * time.Second, false}, {90 * time.Second, true}} {
		runtime.now = time.Hour + test.after
		fleet.evaluateMachines()
		if got := fleet.machines.byID["vm-1"].release.requested; got != test.back {
			t.Errorf("after %v: returned %v", test.after, got)
		}
	}
}

// TestIdleMachineIsReleasedOnlyWhenItsOwnerAgrees: the leader's list may be old. An idle machine
// is closed by its owner first, and returned when that says that nothing is on it.
func TestIdleMachineIsReleasedOnlyWhenItsOwnerAgrees(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	config.Deployment.Cloud.RPS = 10
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	fleet.term.listed = true
	status := MachineStatus{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}
	var reply StatusReply
	for seq := range 600 {
		runtime.now += time.Second
		reply = fleet.HandleStatus(&ShardStatus{Full: seq == 0, Seq: uint64(seq + 1), Hosts: []MachineStatus{status}})
		fleet.evaluateMachines()
		fleet.releaseMachines()
		if status.IdleMS += 1000; len(reply.Drain) > 0 {
			break
		}
	}
	if len(reply.Drain) != 1 || len(runtime.calls) > 0 {
		t.Fatalf("the owner is asked to close %v, %d calls to the cloud before it has", reply.Drain, len(runtime.calls))
	}
	status.AcceptsTasks, status.ReleaseReason = false, "idle"
	fleet.HandleStatus(&ShardStatus{Full: true, Seq: 1000, Hosts: []MachineStatus{status}})
	fleet.evaluateMachines()
	fleet.releaseMachines()
	if len(runtime.calls) != 1 || runtime.calls[0].Target != "/rentals/release" {
		t.Errorf("%d calls to the cloud when it has", len(runtime.calls))
	}
}

// TestReleasedMachineIsNotAdoptedAgain: an owner that has not heard yet, or a list that lags,
// still tells of it.
func TestReleasedMachineIsNotAdoptedAgain(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	fleet := newFleet(runtime, fixedLeases{}, &settings.Settings{})
	fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	fleet.machines.releasedAt["vm-1"] = runtime.now
	reply := fleet.HandleStatus(&ShardStatus{Full: true, Seq: 1, Hosts: []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}}})
	fleet.observeListed(&listedMachine{ID: "vm-1", MachineType: "g8", Phase: "up"}, runtime.now)
	if len(fleet.machines.byID) > 0 || len(reply.Released) != 1 {
		t.Errorf("%d machines, the owner is told that %v are gone", len(fleet.machines.byID), reply.Released)
	}
}

// TestRepeatedRentalKeepsItsName: a rental without an answer may have been carried out; under
// its own name once more it rents nothing more.
func TestRepeatedRentalKeepsItsName(t *testing.T) {
	runtime := &manualRuntime{now: time.Hour}
	config := &settings.Settings{}
	fleet := newFleet(runtime, fixedLeases{}, config)
	fleet.sendRental(rentalRequest{Name: "r-7-1", MachineType: "g8", Zone: "a", Number: 2}, 0)
	runtime.answers[0](http1.Response{}, eventloop.ErrNoAnswer)
	runtime.fireTimers()
	if len(runtime.calls) != 2 || string(runtime.calls[1].Body) != string(runtime.calls[0].Body) {
		t.Fatalf("%d requests, the last %s", len(runtime.calls), runtime.calls[len(runtime.calls)-1].Body)
	}
	if len(fleet.rentals.inFlight) != 1 {
		t.Errorf("%d rentals count as under way", len(fleet.rentals.inFlight))
	}
}
