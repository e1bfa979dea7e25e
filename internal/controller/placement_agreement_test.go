package controller

import (
	"testing"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/placement"
	"lemonmoor/internal/resource"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// agreementFixture is a deployment with one big ordinary machine in zone a, on which a task of a job
// runs while another one waits.
type agreementFixture struct {
	*simulation
	owner  *shardOwner
	leader *Node
	worker *workers.Worker
	job    *taskstate.Job
	task   *taskstate.Task // the waiting one
}

func newAgreementFixture(t *testing.T) *agreementFixture {
	t.Helper()
	fixture := &agreementFixture{simulation: newSimulation(1)}
	fixture.cloud.available = 1
	running := newJob(jobSpec{id: jobID(1), team: "blue", tasks: 1, cpus: 4, runTime: time.Hour, machineTypes: []string{"big"}})
	fixture.schedule(0, func() { fixture.submitAndPoll(running, 0) })
	fixture.runUntil(20 * second)
	fixture.owner, fixture.leader = fixture.ownerOfShard0().node.shardOwners[0], fixture.simulation.leader().node
	list := fixture.owner.workers.Workers()
	if len(list) != 1 || !fixture.owner.workers.AcceptsTasks(list[0]) {
		t.Fatalf("%d machines, want one that accepts tasks", len(list))
	}
	fixture.worker, fixture.job = list[0], fixture.owner.tasks.Job(running.id)
	spec := *fixture.job.Spec
	fixture.job.Spec = &spec // changed by the test
	fixture.task = &taskstate.Task{Job: fixture.job, Index: 1, Queue: taskstate.QueueEntry{EnqueuedAt: fixture.now}}
	return fixture
}

// failOn records that a task of the job has failed on a machine.
func (f *agreementFixture) failOn(workerID string) {
	f.job.Failures.Record(&taskstate.Task{WorkerID: workerID, PlacedAt: f.now - 1}, f.now)
}

// placementReasons are the reasons for which a machine is passed over for a task, and others that look
// alike but for which it is not.
var placementReasons = []struct {
	name   string
	cause  func(f *agreementFixture)
	places bool
}{
	{name: "nothing", cause: func(*agreementFixture) {}, places: true},
	{name: "not reported", cause: func(f *agreementFixture) { f.worker.HasReported = false }},
	{name: "lease expired", cause: func(f *agreementFixture) { f.worker.LeaseExpired = true }},
	{name: "unreachable", cause: func(f *agreementFixture) { f.worker.Unreachable = true }},
	{name: "quarantined, drained or given a spot notice", cause: func(f *agreementFixture) { f.worker.DrainReason = "fails its tasks" }},
	{name: "unknown type", cause: func(f *agreementFixture) { f.worker.MachineType = nil }},
	{name: "unknown tasks", cause: func(f *agreementFixture) { f.worker.UnknownTasks = 1 }},
	{name: "earlier token", cause: func(f *agreementFixture) { f.worker.Token = 0 }},
	{name: "silent", cause: func(f *agreementFixture) { f.worker.LastHeartbeatAt -= time.Minute }},
	{name: "refused a task as full", cause: func(f *agreementFixture) { f.worker.RefusesUntil = f.now + second }},
	{name: "machine type not allowed", cause: func(f *agreementFixture) { f.job.Spec.MachineTypes = []string{"small"} }},
	{name: "too large for the type", cause: func(f *agreementFixture) { f.job.Spec.CPUs = 17 }},
	{name: "zone not allowed", cause: func(f *agreementFixture) { f.job.Spec.Zone = "b" }},
	{name: "spot not allowed", cause: func(f *agreementFixture) { f.worker.Spot = true }},
	{name: "full", cause: func(f *agreementFixture) { f.job.Spec.CPUs = 13 }},
	{name: "failed there", cause: func(f *agreementFixture) { f.failOn(f.worker.ID) }},
	{name: "failed on another machine", cause: func(f *agreementFixture) { f.failOn("vm-9") }, places: true},
	{name: "failed on several machines", cause: func(f *agreementFixture) {
		f.failOn(f.worker.ID)
		f.failOn("vm-9")
	}, places: true},
	{name: "paused after failures", cause: func(f *agreementFixture) { f.job.Failures.PausedUntil = f.now + 5*second }},
	{name: "held for another job", cause: func(f *agreementFixture) {
		f.worker.Hold = workers.Hold{JobID: "wk-1", MinPriority: jobs.PriorityUrgent}
	}},
	{name: "held for the job", cause: func(f *agreementFixture) {
		f.worker.Hold = workers.Hold{JobID: f.job.Spec.ID, MinPriority: jobs.PriorityUrgent}
	}, places: true},
	{name: "held for work of lower priority", cause: func(f *agreementFixture) {
		f.worker.Hold = workers.Hold{JobID: "wk-1", MinPriority: jobs.PriorityStandard}
	}, places: true},
	{name: "reserved for gangs", cause: func(f *agreementFixture) { f.worker.Reserved = resource.Vector{CPUs: 9} }},
	{name: "reserved for gangs in part", cause: func(f *agreementFixture) { f.worker.Reserved = resource.Vector{CPUs: 8} }, places: true},
}

// TestLeaderCountsRoomWhereTheOwnerPlaces checks, for each reason for which the owner of a shard
// passes a machine over for a task, that the leader counts no room there once it has the owner's next
// status message.
func TestLeaderCountsRoomWhereTheOwnerPlaces(t *testing.T) {
	for _, test := range placementReasons {
		t.Run(test.name, func(t *testing.T) {
			fixture := newAgreementFixture(t)
			test.cause(fixture)
			fixture.owner.statuses.fullNeeded = true
			fixture.leader.receiveStatus(fixture.owner.nextStatus())
			places := fixture.owner.workers.AcceptsTasks(fixture.worker) && fixture.job.Spec.Resources().Fits(fixture.worker.Free()) &&
				placement.ExclusionOf(fixture.task, fixture.worker, fixture.now) == placement.ExclusionNone
			counts := fixture.leader.leader.CapacityFor(fixture.job.Spec, "") > 0
			if places != test.places || counts != test.places {
				t.Errorf("the owner places the task: %v, the leader counts room: %v, want %v", places, counts, test.places)
			}
		})
	}
}

// TestReservedRoomIsUsedBeforeTheUsersLimit checks that room reserved for gangs is not kept from a task
// that has waited for long.
func TestReservedRoomIsUsedBeforeTheUsersLimit(t *testing.T) {
	fixture := newAgreementFixture(t)
	fixture.worker.Reserved = resource.Vector{CPUs: 12}
	fixture.task.Queue.EnqueuedAt = fixture.now - tuning.StarvedAfter
	if reason := placement.ExclusionOf(fixture.task, fixture.worker, fixture.now); reason != placement.ExclusionNone {
		t.Errorf("a task that has waited for %v is kept off the machine: %s", tuning.StarvedAfter, reason)
	}
}

// TestOwnerTellsThatAJobMayFailEverywhere checks that the leader learns with the next status message
// that a job may have been submitted with a mistake, and that it is sound again.
func TestOwnerTellsThatAJobMayFailEverywhere(t *testing.T) {
	fixture := newAgreementFixture(t)
	tells := func() bool {
		fixture.leader.receiveStatus(fixture.owner.nextStatus())
		return fixture.leader.fleet.MayFailEverywhere(fixture.job.Spec.ID)
	}
	if fixture.failOn(fixture.worker.ID); tells() {
		t.Error("told after failures on one machine")
	}
	if fixture.failOn("vm-9"); !tells() {
		t.Error("not told after failures on two machines")
	}
	if fixture.job.Failures.TaskCompleted(); tells() {
		t.Error("still told after a completion")
	}
}
