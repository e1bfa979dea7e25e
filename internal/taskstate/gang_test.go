package taskstate

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/jobs"
)

// TestGangAttempts drives a gang through placements, losses, starts and new
// owners that know what has been committed only. The tasks of a gang that are on
// machines share their attempt; a machine never gets the same task and attempt
// twice; nothing is replaced once the gang has run; each mark supersedes the one
// before, so that pages may be read in any order.
func TestGangAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "tasks")
		desc := &jobs.Spec{ID: "wk-1", Shape: "gang", Tasks: n}
		index := make([]int, n)
		for i := range index {
			index[i] = i
		}
		now := time.Hour
		store := NewStore(nil, nil, slog.New(slog.DiscardHandler))
		rec := NewRecord(0, "wk-1", 0, index, nil, nil)
		raw, err := rec.Encode()
		if err != nil {
			t.Fatal(err)
		}
		store.apply(rec.Key, raw, 1)
		j := &Job{}
		load := func() {
			*j = Job{Spec: desc, Gang: &Gang{}, Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{}}
			LoadRecord(j, store.Get(rec.Key))
			j.RecoverGang(now)
		}
		load()
		seen := map[string]bool{}
		ran := map[uint64]bool{} // attempts that have run
		last := make([]TaskStatus, n)
		hosts := 0
		commit := func(k *Task) {
			m := TaskStatus{State: k.State, Attempt: k.Attempt, WorkerID: k.WorkerID, Running: k.Observed.HasRun}
			if k.State != StatePlaced {
				m.WorkerID, m.Running = "", false
			}
			if m == last[k.Index] {
				return
			}
			if !m.supersedes(last[k.Index]) {
				t.Fatalf("%+v does not supersede %+v", m, last[k.Index])
			}
			last[k.Index] = m
			pages, _, _, err := PackPages([]*Task{k}, 4000, 1)
			if err != nil || len(pages) != 1 {
				t.Fatal(err)
			}
			store.apply(PageKey(0, 0), pages[0], 2)
			if got := store.Get(rec.Key).Statuses[k.Index]; got != m {
				t.Fatalf("committed %+v, read %+v", m, got)
			}
		}
		lose := func(k *Task, how Loss) {
			k.State, k.WorkerID, k.Observed.HasRun = StateWaiting, "", false
			j.TaskGone(k, how, now)
			commit(k)
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += time.Second
			var on []*Task
			for i := range n {
				if k := j.Tasks[i]; k.State == StatePlaced {
					on = append(on, k)
				}
			}
			step := rapid.IntRange(0, 6).Draw(t, "step")
			switch {
			case step <= 1:
				list := j.TasksToPlace()
				if len(list) > 0 && len(on) == 0 && len(list) != n {
					t.Fatalf("%d of %d tasks are asked for", len(list), n)
				}
				for _, k := range list {
					if ran[j.Gang.Attempt] {
						t.Fatal("a task is replaced though the gang has run")
					}
					// Machines are few, so that the same one is chosen again.
					host := fmt.Sprintf("vm-%d", rapid.IntRange(0, 3).Draw(t, "host"))
					for _, h := range k.Tried.Workers {
						if h == host && k.Attempt >= j.Gang.Attempt<<10 && j.Gang.Attempt > 0 {
							hosts++
							host = fmt.Sprintf("vm-new-%d", hosts)
						}
					}
					k.PlaceOn(host)
					if key := fmt.Sprint(k.Index, k.WireAttempt(), host); seen[key] {
						t.Fatalf("task, attempt and machine %s once more", key)
					} else {
						seen[key] = true
					}
					commit(k)
					if rapid.IntRange(0, 5).Draw(t, "owner ends in mid-commit") == 0 {
						load()
						break
					}
					k.PlacementDurable = true
				}
			case step == 2 && len(on) == n && !j.Gang.AttemptOver && j.Gang.StartInDoubtSince == 0:
				ran[j.Gang.Attempt] = true
				if rapid.Bool().Draw(t, "seen") {
					j.ReportedRunning(now)
					for _, k := range on {
						k.Observed.HasRun = true
						commit(k)
					}
				}
			case step == 3 && len(on) > 0:
				how := LossVanished
				if !ran[j.Gang.Attempt] {
					how = rapid.SampledFrom([]Loss{LossBeforeWaiting, LossVanished, LossExited}).Draw(t, "how")
				}
				lose(on[rapid.IntRange(0, len(on)-1).Draw(t, "which")], how)
			case step == 4 && len(on) > 0 && j.Gang.StartInDoubtSince > 0 && !ran[j.Gang.Attempt]:
				j.ReportedWaiting(now)
			case step == 5:
				load()
			case step == 6 && j.Gang.AttemptOver:
				for _, k := range on {
					lose(k, LossExited)
				}
			}
			for _, k := range j.Tasks {
				if k.State == StatePlaced && k.WireAttempt() != j.Gang.Attempt {
					t.Fatalf("task %d has attempt %d, the gang %d", k.Index, k.WireAttempt(), j.Gang.Attempt)
				}
				if k.Launchable() && (j.Gang.AttemptOver || placedDurably(j) < n) {
					t.Fatal("a task may be launched though not all are placed")
				}
			}
		}
	})
}

func placedDurably(j *Job) (n int) {
	for _, k := range j.Tasks {
		if k.State == StatePlaced && k.PlacementDurable {
			n++
		}
	}
	return n
}
