package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/settings"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// zoneTest is a fleet of 90 machines, a third of them in zone a and the others in zone b.
type zoneTest struct {
	runtime *manualRuntime
	fleet   *Fleet
	message *ShardStatus
}

func newZoneTest() *zoneTest {
	test := &zoneTest{runtime: &manualRuntime{now: time.Hour}, message: &ShardStatus{Full: true}}
	config := &settings.Settings{}
	config.Deployment.Workers.ReportS, config.Deployment.Cloud.RPS = 10, 100
	test.fleet = newFleet(test.runtime, fixedLeases{}, config)
	test.fleet.types = []jobs.MachineType{{Name: "g8", CPUs: 8, MemoryGB: 32, SpotPrice: 1, Price: 3, BootSeconds: 20, Zones: []string{"a", "b"}}}
	test.fleet.term.listed = true
	for i := range 90 {
		zone := "a"
		if i%3 > 0 {
			zone = "b"
		}
		test.message.Hosts = append(test.message.Hosts, MachineStatus{
			ID: fmt.Sprint("vm-", i), MachineType: "g8", Zone: zone, HasReported: true, AcceptsTasks: true, Busy: true,
		})
	}
	for range 30 {
		test.advance("a", "b")
	}
	return test
}

// advance simulates one second in which the owner receives heartbeats from the given zones.
func (z *zoneTest) advance(reachable ...string) {
	z.runtime.now += time.Second
	z.message.Seq++
	z.message.ReachableZones = reachable
	z.fleet.HandleStatus(z.message)
	z.fleet.evaluateMachines()
}

// markSilent makes the owner request the release of those machines of a zone that have been
// silent for long enough, a number of seconds after the zone's last heartbeat. Every other
// machine may have urgent tasks.
func (z *zoneTest) markSilent(zone string, seconds int) {
	for i := range z.message.Hosts {
		status := &z.message.Hosts[i]
		if status.Zone != zone || seconds <= 7+i%12 {
			continue
		}
		status.AcceptsTasks, status.ReleaseReason = false, workers.ReleaseSilent
		if i%2 == 0 {
			status.ReleaseReason = workers.ReleaseSilentUrgent
		}
	}
}

// partitionLargeZone partitions zone b, which has most of the machines, for a minute.
func (z *zoneTest) partitionLargeZone() {
	for seconds := range 60 {
		z.markSilent("b", seconds)
		z.advance("a")
	}
}

// reconnectLargeZone ends the partition of zone b. Its machines report one after the other.
func (z *zoneTest) reconnectLargeZone() {
	for seconds := range 12 {
		for i := range z.message.Hosts {
			if i%12 == seconds {
				z.message.Hosts[i].AcceptsTasks, z.message.Hosts[i].ReleaseReason = true, ""
			}
		}
		z.advance("a", "b")
	}
}

func (z *zoneTest) countReleased() int {
	return z.fleet.countMachinesThat(func(m *machine) bool { return m.release.requested })
}

// TestMachinesOfAPartitionedZoneAreKept: the machines of a partitioned zone must not be released
// as silent, because they are usable again as soon as the partition ends.
func TestMachinesOfAPartitionedZoneAreKept(t *testing.T) {
	test := newZoneTest()
	test.partitionLargeZone()
	if available, released := test.fleet.countAvailable(), test.countReleased(); available != 30 || released != 0 {
		t.Errorf("%d machines available and %d released during the partition, want 30 and 0", available, released)
	}
}

// TestNothingIsRentedInAPartitionedZone: machines rented in a partitioned zone cannot report
// either. Without the rule hundreds would be rented there as replacements.
func TestNothingIsRentedInAPartitionedZone(t *testing.T) {
	test := newZoneTest()
	test.partitionLargeZone()
	spec := &jobs.Spec{CPUs: 4, MemoryGB: 4, Spot: true, EstimateSeconds: 40}
	test.fleet.SetDemand([]Demand{{Spec: spec, Tasks: 500, ObjectiveSlackSeconds: []float64{60}}}, nil)
	callsBefore := len(test.runtime.calls)
	test.fleet.rentForDemand()
	for _, call := range test.runtime.calls[callsBefore:] {
		var request rentalRequest
		if err := json.Unmarshal(call.Body, &request); err != nil || request.Zone != "a" {
			t.Errorf("rental request %s, want one for zone a", call.Body)
		}
	}
	if len(test.runtime.calls) == callsBefore {
		t.Error("no machines rented in zone a, which is not partitioned")
	}
}

// TestMachinesHaveTimeToReportAfterPartition: when a partition ends, machines report one after the
// other. The others must not be released as soon as the first one reports.
func TestMachinesHaveTimeToReportAfterPartition(t *testing.T) {
	test := newZoneTest()
	test.partitionLargeZone()
	test.reconnectLargeZone()
	if available, released := test.fleet.countAvailable(), test.countReleased(); available < 90 || released != 0 {
		t.Errorf("%d machines available and %d released after the partition, want at least 90 and 0", available, released)
	}
}

// TestSmallPartitionedZoneIsReleasedInSteps checks that machines of a small partitioned zone that
// may have urgent tasks are released without the zone's retention, and the others when the zone
// has been partitioned for tuning.ZonePartitionRetention.
func TestSmallPartitionedZoneIsReleasedInSteps(t *testing.T) {
	test := newZoneTest()
	test.partitionLargeZone()
	test.reconnectLargeZone()
	for seconds := range int(tuning.ZonePartitionRetention/time.Second) + 20 {
		test.markSilent("a", seconds)
		test.advance("b")
		if released := test.countReleased(); seconds == 40 && released != 15 {
			t.Errorf("%d machines of the small zone released after 40 s, want the 15 that may have urgent tasks", released)
		}
	}
	if released := test.countReleased(); released != 30 {
		t.Errorf("%d machines of the small zone released after its retention, want 30", released)
	}
}
