package shard

import (
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// TestPagesKeepTheNewestWord: however commits overlap and whichever is answered
// first, the page that is the newest word on a task is never written over, and
// the log stays short.
func TestPagesKeepTheNewestWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := logPages{revisionOf: func(int) uint64 { return 0 }}
		tasks := make([]*taskstate.Task, rapid.IntRange(1, 40).Draw(t, "tasks"))
		for i := range tasks {
			tasks[i] = &taskstate.Task{Index: i, Log: taskstate.LogPosition{Page: -1}}
		}
		type flight struct {
			seq   uint64
			page  []int
			tasks []*taskstate.Task
			words []int
		}
		var flights []flight
		content := map[int]map[*taskstate.Task]int{} // what a page tells, as words
		word := map[*taskstate.Task]int{}            // the newest word made
		told := map[*taskstate.Task]int{}            // the newest word committed
		seq := uint64(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			if len(flights) < tuning.MaxCommitsInFlight && rapid.Bool().Draw(t, "commit") {
				seq++
				f := flight{seq: seq}
				list := append([]*taskstate.Task(nil), p.oldestIf(len(flights) == 0)...)
				for range rapid.IntRange(1, 5).Draw(t, "changed") {
					k := tasks[rapid.IntRange(0, len(tasks)-1).Draw(t, "task")]
					word[k]++
					list = append(list, k)
				}
				f.page = p.reserve(1)
				on := map[*taskstate.Task]int{}
				for _, k := range list {
					if _, twice := on[k]; !twice {
						f.tasks, f.words = append(f.tasks, k), append(f.words, word[k])
					}
					on[k] = word[k]
				}
				// Carried out at once; answered later.
				content[f.page[0]] = on
				for _, k := range f.tasks {
					told[k] = max(told[k], on[k])
				}
				flights = append(flights, f)
			} else if len(flights) > 0 {
				i := rapid.IntRange(0, len(flights)-1).Draw(t, "answered")
				f := flights[i]
				flights = append(flights[:i:i], flights[i+1:]...)
				p.release(f.page, f.seq)
				for _, k := range f.tasks {
					if f.seq < k.Log.Commit {
						continue
					}
					k.Log.Commit = f.seq
					p.removeTask(k.Log.Page)
					k.Log.Page = f.page[0]
					p.addTask(k.Log.Page, k)
				}
			}
			for _, k := range tasks {
				best := 0
				for _, on := range content {
					best = max(best, on[k])
				}
				if best < told[k] {
					t.Fatalf("task %d: word %d was told, the log says %d", k.Index, told[k], best)
				}
			}
			if len(p.pages) > 2*tuning.LogCompactionPages {
				t.Fatalf("%d pages for %d tasks", len(p.pages), len(tasks))
			}
		}
	})
}

func (p *logPages) oldestIf(alone bool) []*taskstate.Task {
	if !alone {
		return nil
	}
	return p.compactionTasks()
}
