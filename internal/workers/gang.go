package workers

import (
	"time"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// take works out what the records of a new token say of a gang.
func (t *Registry) take(j *taskstate.Job) {
	j.RecoverGang(t.begun)
	if j.Gang.Done {
		t.GangDone(j)
	}
}

// lost takes note that a task of a gang is off its machine, and asks the others
// how they are if that is what decides.
func (t *Registry) lost(k *taskstate.Task, how taskstate.Loss) {
	j, now := k.Job, t.rt.Now()
	doubt, was := j.Gang.StartInDoubtSince, *j.Gang
	j.TaskGone(k, how, now)
	if j.Gang.Attempt == 0 || (j.Gang.AttemptOver && !was.AttemptOver) {
		t.log.Debug("gang's attempt comes to nothing", "job", j.Spec.ID, "attempt", was.Attempt, "task", k.Index, "started", was.Started,
			"through", j.Gang.Attempt == 0, "saved", was.Checkpointing)
	}
	if j.Gang.StartInDoubtSince != doubt && j.Gang.StartInDoubtSince > 0 {
		for _, o := range j.Tasks {
			if h := t.hosts[o.WorkerID]; o.State == taskstate.StatePlaced && h != nil {
				h.commands.probeTasks, t.ready[h] = true, true
			}
		}
	}
	t.windUp(j, now)
}

// mate takes in the state of a task of a gang, which tells of the others too.
func (t *Registry) mate(k *taskstate.Task, phase string) {
	j := k.Job
	if j.Gang == nil || k.WireAttempt() != j.Gang.Attempt {
		return
	}
	now := t.rt.Now()
	switch phase {
	case "running", "saving":
		if !j.Gang.Started {
			t.log.Debug("gang runs", "job", j.Spec.ID, "class", j.Spec.Class, "attempt", j.Gang.Attempt, "host", k.WorkerID,
				"age_s", float64(t.rt.WallClock().UnixMilli()-j.SubmittedMS)/1000)
		}
		j.ReportedRunning(now)
		if !k.HasRun {
			k.HasRun = true
			t.tasks.TaskChanged(k, false) // for those who ask whether it runs
		}
	case "waiting", "fetching":
		j.ReportedWaiting(now)
	}
	t.windUp(j, now)
}

// GangDone takes note that a task of a gang is proven done, and with it all are.
// Those on no machine are written off at once, the others when they are proven
// gone: their places are not free before.
func (t *Registry) GangDone(j *taskstate.Job) {
	if j.Gang.Done && j.Gang.AttemptOver || j.Cancelled {
		return
	}
	j.Gang.Done, j.Gang.Started = true, true
	j.EndAttempt(t.rt.Now())
	for _, k := range j.Tasks {
		h := t.hosts[k.WorkerID]
		switch {
		case k.State == taskstate.StateWaiting:
			t.tasks.TaskDone(k)
		case k.State == taskstate.StatePlaced && !k.LaunchSent && h != nil && h.Tasks[k]:
			t.proveGone(h, k, taskstate.LossBeforeWaiting)
		}
	}
}

// windUp halts what is left of an attempt that is over.
func (t *Registry) windUp(j *taskstate.Job, now time.Duration) {
	if j.Cancelled || !j.MustHaltAttempt(now, t.set.GangPeerTimeout()) {
		return
	}
	for _, k := range j.Tasks {
		if h := t.hosts[k.WorkerID]; k.State == taskstate.StatePlaced && k.LaunchSent && h != nil && !(k.HaltDecided && k.WindDownSeconds == 0) {
			k.Halt(0)
			t.ready[h] = true
		}
	}
}

// tend looks after a gang once a second: whether a task has to leave its
// machine before the cloud takes it, and whether an attempt goes nowhere.
func (t *Registry) tend(j *taskstate.Job, now time.Duration) {
	g := j.Gang
	if g.Attempt == 0 || j.Cancelled {
		return
	}
	if g.StartInDoubtSince > 0 && now-g.StartInDoubtSince > t.set.GangWaitTimeout()+t.set.GangPeerTimeout() {
		j.EndAttempt(now)
	}
	if !g.AttemptOver {
		t.leave(j, now)
	}
	t.windUp(j, now)
}

// leave stops a gang in good order before the cloud takes a machine of it: all
// tasks are told to save at the same time, as late as that can be done. Without
// the time for it, it runs on: it may still complete, or pass a checkpoint. One
// that waits just leaves the machine.
func (t *Registry) leave(j *taskstate.Job, now time.Duration) {
	g, save := j.Gang, time.Duration(j.Spec.CheckpointSeconds*float64(time.Second))
	for _, k := range j.Tasks {
		h := t.hosts[k.WorkerID]
		if k.State != taskstate.StatePlaced || h == nil || h.TerminationAt == 0 {
			continue
		}
		if !g.Started {
			if k.Reported && !k.HaltDecided {
				k.Halt(0)
				t.ready[h] = true
			}
			continue
		}
		last := h.TerminationAt - save - tuning.SpotNoticeReserve
		if j.Spec.CheckpointIntervalSeconds == 0 || now < last-tuning.CheckpointMargin || now > last {
			continue
		}
		t.log.Info("saving gang", "job", j.Spec.ID, "host", h.ID)
		t.saveAll(j, now)
		return
	}
}

// saveAll ends a gang's attempt: all its tasks are told to save, at the same time.
func (t *Registry) saveAll(j *taskstate.Job, now time.Duration) {
	j.EndAttempt(now)
	j.Gang.Checkpointing = true
	for _, o := range j.Tasks {
		if h := t.hosts[o.WorkerID]; o.State == taskstate.StatePlaced && h != nil {
			o.Halt(j.Spec.CheckpointSeconds)
			t.ready[h] = true
		}
	}
}
