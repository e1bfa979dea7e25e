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

// still is a runtime on which nothing happens by itself: timers wait for the test.
type still struct {
	now     time.Duration
	calls   []http1.ClientRequest
	answers []func(http1.Response, error)
	timers  []func()
}

func (s *still) Now() time.Duration   { return s.now }
func (s *still) WallClock() time.Time { return time.UnixMilli(0) }
func (s *still) Rand() float64        { return 0.5 }
func (s *still) After(_ time.Duration, fn func()) {
	s.timers = append(s.timers, fn)
}

func (s *still) CallHTTP(_ string, c http1.ClientRequest, _ time.Duration, fn func(http1.Response, error)) {
	s.calls = append(s.calls, c)
	s.answers = append(s.answers, fn)
}
func (s *still) CallPeer(string, string, []byte, time.Duration, func([]byte, error)) {}

// fire lets the timers run that are set now.
func (s *still) fire() {
	timers := s.timers
	s.timers = nil
	for _, fn := range timers {
		fn()
	}
}

var _ eventloop.Runtime = (*still)(nil)

// leading is the leader's lease; out: its lease has run out.
type leading struct{ out bool }

func (leading) LeaderToken() uint64   { return 7 }
func (l leading) LeaseValid() bool    { return !l.out }
func (leading) ShardOwner(int) string { return "node-0" }

// loadsFunc is a source of loads made of a function.
type loadsFunc func(machineID string) MachineLoad

func (f loadsFunc) MachineLoad(machineID string) MachineLoad { return f(machineID) }

// newFleet returns a fleet with nothing on its machines.
func newFleet(runtime eventloop.Runtime, leases Lease, settings *settings.Settings) *Fleet {
	return New(Dependencies{
		Runtime: runtime, Address: "cloud", Leases: leases, Settings: settings, Log: slog.New(slog.DiscardHandler),
		Loads: loadsFunc(func(string) MachineLoad { return MachineLoad{} }),
	})
}

// TestNewOwnerLosesNoMachine guards against a fault seen on a rough day: a new
// owner, which knew the machines from its records only, made the leader return
// all of them as never booted, with their tasks.
func TestNewOwnerLosesNoMachine(t *testing.T) {
	rt := &still{now: time.Hour}
	f := newFleet(rt, leading{}, &settings.Settings{})
	f.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	f.machines["vm-1"] = &machine{id: "vm-1", kind: MachineKind{MachineType: "g8"}, rented: 0, listed: true}
	f.machines["vm-2"] = &machine{id: "vm-2", kind: MachineKind{MachineType: "g8"}, rented: 0, listed: true, booting: true}
	f.HandleStatus(&ShardStatus{Full: true, Hosts: []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true, Busy: true}}})
	rt.now += time.Second
	f.HandleStatus(&ShardStatus{Full: true, Token: 9, Hosts: []MachineStatus{{ID: "vm-1", Busy: true}}})
	f.judge()
	if m := f.machines["vm-1"]; m.release {
		t.Errorf("a machine with tasks is returned: %s", m.why)
	}
	if m := f.machines["vm-2"]; !m.release {
		t.Error("a machine that has been booting for an hour is kept")
	}
}

// TestDeadMachineIsNoRoom guards against a fault of a rough day: machines that
// died while all controllers were down stayed in the lists as running, counted
// as about to come, and for half a minute nothing was rented in their place.
func TestDeadMachineIsNoRoom(t *testing.T) {
	rt := &still{now: time.Hour}
	set := &settings.Settings{}
	set.Deployment.Workers.ReportS = 10
	f := newFleet(rt, leading{}, set)
	f.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	for _, id := range []string{"vm-1", "vm-2"} {
		f.machines[id] = &machine{id: id, kind: MachineKind{MachineType: "g8"}, rented: rt.now, listed: true, running: rt.now}
	}
	rooms := func() (n int) {
		f.EachAvailable(func(*AvailableMachine) { n++ })
		return n
	}
	for s := range 25 {
		f.HandleStatus(&ShardStatus{Full: s == 0, Seq: uint64(s), Hosts: []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}}})
		if s == 3 && rooms() != 2 {
			t.Error("a machine that may report any moment is no room")
		}
		rt.now += time.Second
	}
	if n := rooms(); n != 1 {
		t.Errorf("%d rooms, one machine is dead", n)
	}
	f.judge()
	if !f.machines["vm-2"].release || f.machines["vm-1"].release {
		t.Error("the dead machine is kept, or the live one returned")
	}
}

// TestRentalsFillTheNeed: a large backlog is rented for in few calls within the
// cloud's budget, and what is under way is not rented for again.
func TestRentalsFillTheNeed(t *testing.T) {
	rt := &still{now: time.Hour}
	set := &settings.Settings{}
	set.Deployment.Cloud.RPS = 4
	f := newFleet(rt, leading{}, set)
	f.types = []jobs.MachineType{{Name: "g8", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.7, BootSeconds: 50, Zones: []string{"a", "b"}}}
	job := &jobs.Spec{CPUs: 16, MemoryGB: 35, Spot: true, EstimateSeconds: 40, Tasks: 400}
	asked := map[string]int{}
	total := 0
	for second := range 40 {
		rt.now += time.Second
		have := 0.0
		f.EachAvailable(func(r *AvailableMachine) { have += r.MachineType.CPUs })
		waiting := max(0, 800-int(have/16))
		f.SetDemand([]Demand{{Spec: job, Tasks: waiting / 2, ObjectiveSlackSeconds: []float64{100}}, {Spec: job, Tasks: waiting - waiting/2, ObjectiveSlackSeconds: []float64{100}}}, nil)
		first := len(rt.calls)
		f.rent(0)
		// The cloud allows four a second and bursts of two seconds' worth.
		if n := len(rt.calls); n > 8+4*second {
			t.Fatalf("%d calls in %d seconds", n, second)
		}
		for i := first; i < len(rt.calls); i++ {
			var h hire
			if err := json.Unmarshal(rt.calls[i].Body, &h); err != nil || h.Number < 1 || h.Number > 50 {
				t.Fatalf("asked for %+v, %v", h, err)
			}
			asked[h.Name]++
			total += h.Number
		}
	}
	// Two tasks to a machine; what is left may wait for half a boot.
	if wait := float64(800-2*total) * 16 * 40 / (float64(total) * 32); total > 400 || wait > 25 || len(asked) > 10 {
		t.Errorf("%d machines in %d calls for 800 tasks, the rest waits %.0f s", total, len(asked), wait)
	}
	for name, n := range asked {
		if n > 1 {
			t.Errorf("request %s was used %d times", name, n)
		}
	}
}

// TestZoneCutOff guards against faults of two days on which a zone was cut off:
// its machines were returned, hundreds were rented anew in that same zone, where
// they could not report, and when it was back those left were returned at the
// first sign of life.
func TestZoneCutOff(t *testing.T) {
	rt := &still{now: time.Hour}
	set := &settings.Settings{}
	set.Deployment.Workers.ReportS, set.Deployment.Cloud.RPS = 10, 100
	f := newFleet(rt, leading{}, set)
	f.types = []jobs.MachineType{{Name: "g8", CPUs: 8, MemoryGB: 32, SpotPrice: 1, Price: 3, BootSeconds: 20, Zones: []string{"a", "b"}}}
	d := &ShardStatus{Full: true, ReachableZones: []string{"a", "b"}}
	for i := range 90 {
		zone := "a"
		if i%3 > 0 {
			zone = "b"
		}
		d.Hosts = append(d.Hosts, MachineStatus{ID: fmt.Sprint("vm-", i), MachineType: "g8", Zone: zone, HasReported: true, AcceptsTasks: true, Busy: true})
	}
	f.listed = true
	second := func(lit ...string) {
		rt.now += time.Second
		d.Seq++
		d.ReachableZones = lit
		f.HandleStatus(d)
		f.judge()
	}
	count := func() (rooms, returned int) {
		f.EachAvailable(func(*AvailableMachine) { rooms++ })
		for _, m := range f.machines {
			if m.release {
				returned++
			}
		}
		return rooms, returned
	}
	for range 30 {
		second("a", "b")
	}
	for s := range 60 { // zone b: most of the machines
		for i := range d.Hosts {
			if h := &d.Hosts[i]; h.Zone == "b" && s > 7+i%12 {
				h.AcceptsTasks, h.ReleaseReason = false, workers.ReleaseSilent
				if i%2 == 0 {
					h.ReleaseReason = workers.ReleaseSilentUrgent
				}
			}
		}
		second("a")
	}
	if rooms, returned := count(); rooms != 30 || returned != 0 {
		t.Errorf("%d rooms, %d machines returned", rooms, returned)
	}
	f.SetDemand([]Demand{{Spec: &jobs.Spec{CPUs: 4, MemoryGB: 4, Spot: true, EstimateSeconds: 40}, Tasks: 500, ObjectiveSlackSeconds: []float64{60}}}, nil)
	first := len(rt.calls)
	f.rent(0)
	for _, c := range rt.calls[first:] {
		var h hire
		if err := json.Unmarshal(c.Body, &h); err != nil || h.Zone != "a" {
			t.Errorf("asked for %s", c.Body)
		}
	}
	if len(rt.calls) == first {
		t.Error("nothing is rented in the other zone")
	}
	for s := range 12 { // back, and they report one after the other
		for i := range d.Hosts {
			if i%12 == s {
				d.Hosts[i].AcceptsTasks, d.Hosts[i].ReleaseReason = true, ""
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
		for i := range d.Hosts {
			if h := &d.Hosts[i]; h.Zone == "a" && s > 7+i%12 {
				h.AcceptsTasks, h.ReleaseReason = false, workers.ReleaseSilent
				if i%2 == 0 {
					h.ReleaseReason = workers.ReleaseSilentUrgent
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

// TestIdleInAnOutage guards against a fault of a day with a long outage of the
// state service: nothing could be handed out, all machines became idle, and when
// it was over they were returned at once, two thousand of them.
func TestIdleInAnOutage(t *testing.T) {
	rt := &still{now: time.Hour}
	set := &settings.Settings{}
	set.Deployment.Workers.ReportS = 10
	lease := &leading{}
	f := newFleet(rt, lease, set)
	f.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	f.BeginTerm()
	rt.now += time.Hour
	d := &ShardStatus{Full: true}
	for i := range 40 {
		d.Hosts = append(d.Hosts, MachineStatus{ID: fmt.Sprint("vm-", i), MachineType: "g8", HasReported: true, AcceptsTasks: true})
	}
	second := func() {
		rt.now += time.Second
		for i := range d.Hosts {
			d.Hosts[i].IdleMS += 1000
		}
		d.Seq++
		f.HandleStatus(d)
		f.round(f.term)
	}
	drained := func() (n int) {
		for _, m := range f.machines {
			if m.drain != "" {
				n++
			}
		}
		return n
	}
	second()
	lease.out = true
	for range 60 {
		second()
	}
	lease.out = false
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

// BenchmarkLeader shows what the leader's look at all machines and an owner's
// word cost, by the number of machines.
func BenchmarkLeader(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		rt := &still{now: time.Hour}
		set := &settings.Settings{}
		set.Deployment.Workers.ReportS = 10
		f := newFleet(rt, leading{}, set)
		f.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
		d := &ShardStatus{Full: true, ReachableZones: []string{"a", "b"}}
		for i := range n {
			d.Hosts = append(d.Hosts, MachineStatus{ID: fmt.Sprintf("vm-%06d", i), MachineType: "g8", Zone: "ab"[i%2 : i%2+1], HasReported: true, AcceptsTasks: true, Busy: true})
		}
		f.HandleStatus(d)
		b.Run(fmt.Sprint("rooms of ", n), func(b *testing.B) {
			for b.Loop() {
				f.EachAvailable(func(*AvailableMachine) {})
			}
		})
		b.Run(fmt.Sprint("judge ", n), func(b *testing.B) {
			for b.Loop() {
				f.judge()
			}
		})
		d.Full, d.Hosts = false, d.Hosts[:n/20]
		b.Run(fmt.Sprint("word of a twentieth of ", n), func(b *testing.B) {
			for b.Loop() {
				d.Seq++
				f.HandleStatus(d)
			}
		})
	}
}

// TestLateStatusTellsNothing guards against a fault of a generated day: a message of
// an owner that was held back for half a minute brought back a machine that had
// been returned. It counted as room for ever, and nothing was rented for a gang
// that waited for it.
func TestLateStatusTellsNothing(t *testing.T) {
	rt := &still{now: time.Hour}
	f := newFleet(rt, leading{}, &settings.Settings{})
	f.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	ghost := []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}}
	f.HandleStatus(&ShardStatus{Full: true, Token: 9, Seq: 40})
	for _, d := range []*ShardStatus{{Token: 9, Seq: 12, Hosts: ghost}, {Full: true, Token: 9, Seq: 13, Hosts: ghost}, {Full: true, Token: 8, Seq: 90, Hosts: ghost}} {
		f.HandleStatus(d)
	}
	f.EachAvailable(func(r *AvailableMachine) { t.Errorf("%s is room", r.ID) })
	if r := f.HandleStatus(&ShardStatus{Token: 9, Seq: 41}); r.Full {
		t.Error("the owner is asked to tell all anew")
	}
}

// TestTakenBeforeListed guards against a fault of a generated day: a machine that
// the cloud took before any list had it counted as one that boots, and work waited
// for it for ever.
func TestTakenBeforeListed(t *testing.T) {
	rt := &still{now: time.Hour}
	set := &settings.Settings{}
	set.Deployment.Cloud.ListLagS = 10
	f := newFleet(rt, leading{}, set)
	f.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	f.listed = true
	f.machines["vm-1"] = &machine{id: "vm-1", kind: MachineKind{MachineType: "g8"}, rented: rt.now}
	for _, c := range []struct {
		after time.Duration
		back  bool
	}{{50 * time.Second, false}, {90 * time.Second, true}} {
		rt.now = time.Hour + c.after
		f.judge()
		if got := f.machines["vm-1"].release; got != c.back {
			t.Errorf("after %v: returned %v", c.after, got)
		}
	}
}

// TestIdleMachineIsReturnedWhenItsOwnerAgrees: the leader's list may be old. An idle machine
// is closed by its owner first, and returned when that says that nothing is on it.
func TestIdleMachineIsReturnedWhenItsOwnerAgrees(t *testing.T) {
	rt := &still{now: time.Hour}
	set := &settings.Settings{}
	set.Deployment.Cloud.RPS = 10
	f := newFleet(rt, leading{}, set)
	f.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	f.listed = true
	status := MachineStatus{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}
	var r StatusReply
	for seq := range 600 {
		rt.now += time.Second
		r = f.HandleStatus(&ShardStatus{Full: seq == 0, Seq: uint64(seq + 1), Hosts: []MachineStatus{status}})
		f.judge()
		f.release(0)
		if status.IdleMS += 1000; len(r.Drain) > 0 {
			break
		}
	}
	if len(r.Drain) != 1 || len(rt.calls) > 0 {
		t.Fatalf("the owner is asked to close %v, %d calls to the cloud before it has", r.Drain, len(rt.calls))
	}
	status.AcceptsTasks, status.ReleaseReason = false, "idle"
	f.HandleStatus(&ShardStatus{Full: true, Seq: 1000, Hosts: []MachineStatus{status}})
	f.judge()
	f.release(0)
	if len(rt.calls) != 1 || rt.calls[0].Target != "/rentals/release" {
		t.Errorf("%d calls to the cloud when it has", len(rt.calls))
	}
}

// TestReturnedMachineIsNotTakenInAgain: an owner that has not heard yet, or a list that lags,
// still tells of it.
func TestReturnedMachineIsNotTakenInAgain(t *testing.T) {
	rt := &still{now: time.Hour}
	f := newFleet(rt, leading{}, &settings.Settings{})
	f.types = []jobs.MachineType{{Name: "g8", CPUs: 8, BootSeconds: 20}}
	f.returned["vm-1"] = rt.now
	r := f.HandleStatus(&ShardStatus{Full: true, Seq: 1, Hosts: []MachineStatus{{ID: "vm-1", MachineType: "g8", HasReported: true, AcceptsTasks: true}}})
	f.takeListed(&listedMachine{ID: "vm-1", Build: "g8", Phase: "up"}, rt.now)
	if len(f.machines) > 0 || len(r.Released) != 1 {
		t.Errorf("%d machines, the owner is told that %v are gone", len(f.machines), r.Released)
	}
}

// TestRepeatedRentalKeepsItsName: a rental without an answer may have been carried out; under
// its own name once more it rents nothing more.
func TestRepeatedRentalKeepsItsName(t *testing.T) {
	rt := &still{now: time.Hour}
	set := &settings.Settings{}
	f := newFleet(rt, leading{}, set)
	f.hire(0, hire{Name: "r-7-1", Build: "g8", Zone: "a", Number: 2}, 0)
	rt.answers[0](http1.Response{}, eventloop.ErrNoAnswer)
	rt.fire()
	if len(rt.calls) != 2 || string(rt.calls[1].Body) != string(rt.calls[0].Body) {
		t.Fatalf("%d requests, the last %s", len(rt.calls), rt.calls[len(rt.calls)-1].Body)
	}
	if len(f.inFlight) != 1 {
		t.Errorf("%d rentals count as under way", len(f.inFlight))
	}
}
