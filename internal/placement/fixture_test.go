package placement

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
	"lemonmoor/internal/workers"
)

// plannerFixture is a planner with machines. It implements Workers and Policy and keeps track
// of the machines' tasks.
type plannerFixture struct {
	*Planner
	machines    []*workers.Worker
	now         time.Duration
	byID        map[string]*workers.Worker
	placesGangs bool                    // PlaceTask places tasks like those of gangs
	promptly    func(class string) bool // nil: no class starts promptly
}

var (
	small = &jobs.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 10, Zones: []string{"a"}}
	large = &jobs.MachineType{Name: "large", CPUs: 32, MemoryGB: 128, CacheGB: 10, Zones: []string{"a"}}
)

// newPlannerFixture returns a planner with one empty machine of each of the types given, in
// zone a.
func newPlannerFixture(types ...*jobs.MachineType) *plannerFixture {
	fixture := &plannerFixture{now: time.Hour, byID: map[string]*workers.Worker{}}
	fixture.Planner = New(fixture, fixture, tuning.WaitBound)
	for i, machineType := range types {
		worker := &workers.Worker{
			ID:      fmt.Sprintf("vm-%03d", i),
			Machine: workers.Machine{MachineTypeName: machineType.Name, Zone: "a", MachineType: machineType},
			Load:    workers.Load{Tasks: map[*taskstate.Task]bool{}},
		}
		fixture.machines = append(fixture.machines, worker)
		fixture.byID[worker.ID] = worker
	}
	return fixture
}

// newGangFixture returns a planner like newPlannerFixture that can place gangs.
func newGangFixture(types ...*jobs.MachineType) *plannerFixture {
	fixture := newPlannerFixture(types...)
	fixture.placesGangs = true
	return fixture
}

func (f *plannerFixture) AcceptsTasks(worker *workers.Worker) bool { return worker.DrainReason == "" }
func (f *plannerFixture) Worker(id string) *workers.Worker         { return f.byID[id] }
func (f *plannerFixture) UpdateRank(*taskstate.Job, int64) bool    { return false }
func (f *plannerFixture) StartsPromptly(class string) bool {
	return f.promptly != nil && f.promptly(class)
}

func (f *plannerFixture) PlaceTask(task *taskstate.Task, worker *workers.Worker) {
	if f.placesGangs {
		task.PlaceOn(worker.ID)
		worker.Tasks[task] = true
		worker.Used = worker.Used.Plus(task.Job.Spec.Resources())
		worker.UseImage(task.Job.Spec.Image, task.Job.Spec.ImageGB)
		return
	}
	task.State, task.WorkerID, task.Job.HasPlacedTask = taskstate.StatePlaced, worker.ID, true
	worker.AddTask(task)
}

// runRound runs a round on all machines at the fixture's time.
func (f *plannerFixture) runRound() { f.RunRound(f.machines, f.now, time.UnixMilli(0).Add(f.now)) }

// endTask removes a task from its machine and marks it done.
func (f *plannerFixture) endTask(task *taskstate.Task) {
	f.Worker(task.WorkerID).RemoveTask(task)
	task.State = taskstate.StateDone
}

// addJob creates a job and adds its tasks to the planner.
func (f *plannerFixture) addJob(id int, urgency, image string, cpus float64, tasks int) []*taskstate.Task {
	job := taskstate.NewJob(&jobs.Spec{ID: fmt.Sprintf("wk-%d", id), Urgency: urgency, Image: image, ImageGB: 1, CPUs: cpus, MemoryGB: cpus, Spot: true},
		f.now.Milliseconds()+int64(id), false)
	var list []*taskstate.Task
	for i := range tasks {
		task := &taskstate.Task{Job: job, Index: i}
		list = append(list, task)
		f.AddTask(task, f.now)
	}
	return list
}

// addService creates a service and adds its replicas to the planner.
func (f *plannerFixture) addService(id int, image string, cpus float64, replicas int) []*taskstate.Task {
	tasks := f.addJob(id, "urgent", image, cpus, replicas)
	for _, task := range tasks {
		task.Job.Spec.Shape = "daemon"
		task.Job.Tasks[task.Index] = task
	}
	return tasks
}

// addGangJob creates a gang and adds its tasks to the planner. zones are those fixed for the
// gang.
func (f *plannerFixture) addGangJob(id int, image string, cpus float64, tasks int, zones ...string) *taskstate.Job {
	job := taskstate.NewJob(&jobs.Spec{
		ID: fmt.Sprintf("wk-%d", id), Class: "g", Shape: "gang", Urgency: "standard", Image: image, ImageGB: 1, CPUs: cpus,
		MemoryGB: cpus, Spot: true, Tasks: tasks,
	}, f.now.Milliseconds()+int64(id), false)
	job.Gang = &taskstate.Gang{}
	index := make([]int, tasks)
	for i := range index {
		index[i] = i
	}
	taskstate.LoadRecord(job, taskstate.NewRecord(0, job.Spec.ID, 0, index, zones, nil))
	for _, task := range job.Tasks {
		f.AddTask(task, f.now)
	}
	return job
}

// countPlaced returns how many of a job's tasks are placed.
func countPlaced(job *taskstate.Job) (n int) {
	for _, task := range job.Tasks {
		if task.State == taskstate.StatePlaced {
			n++
		}
	}
	return n
}

// drawMachineTypes draws the types of between atLeast and atMost machines.
func drawMachineTypes(t *rapid.T, atLeast, atMost int) []*jobs.MachineType {
	var types []*jobs.MachineType
	for range rapid.IntRange(atLeast, atMost).Draw(t, "machines") {
		types = append(types, rapid.SampledFrom([]*jobs.MachineType{small, large}).Draw(t, "type"))
	}
	return types
}
