package taskstate

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"slices"
	"strings"
	"testing"

	"lemonmoor/internal/tuning"
	"lemonmoor/internal/userapi"
)

// production is what the version in production has stored and sent, recorded
// from a simulated day of it.
type production struct {
	Snapshots []struct {
		Keys map[string]json.RawMessage `json:"keys"`
	} `json:"snapshots"`
}

func readProduction(t *testing.T) production {
	raw, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var p production
	if err := json.Unmarshal(raw, &p); err != nil {
		t.Fatal(err)
	}
	return p
}

// TestProductionRecords: each record and page of the version in production is
// read, and written again for arrays it comes out to the byte, so that either
// version works on what the other has left.
func TestProductionRecords(t *testing.T) {
	records, pages := 0, 0
	for _, snap := range readProduction(t).Snapshots {
		s := NewStore(nil, nil, slog.New(slog.DiscardHandler))
		var keys []string
		for key := range snap.Keys {
			if strings.HasPrefix(key, KeyPrefix) {
				keys = append(keys, key)
			}
		}
		// Records before pages.
		slices.SortFunc(keys, func(a, b string) int {
			if x, y := strings.Contains(a, "/log/"), strings.Contains(b, "/log/"); x != y {
				if x {
					return 1
				}
				return -1
			}
			return strings.Compare(a, b)
		})
		for _, key := range keys {
			value := snap.Keys[key]
			s.apply(key, value, 7)
			block, job, number, err := parseKey(key)
			if err != nil {
				t.Fatal(err)
			}
			if job == logName {
				pages++
				again(t, s, snap.Keys, block, number, value)
				continue
			}
			records++
			r := s.Get(key)
			if r == nil {
				t.Fatalf("record %s is not read", key)
			}
			if raw, err := r.Encode(); err != nil || !bytes.Equal(raw, value) {
				t.Errorf("%s: was %s, is %s (%v)", key, value, raw, err)
			}
		}
	}
	if records < 20 || pages < 15 {
		t.Errorf("%d records and %d pages only", records, pages)
	}
}

// again writes the page of a block anew from what has been read of it.
func again(t *testing.T, s *Store, all map[string]json.RawMessage, block, number int, value json.RawMessage) {
	t.Helper()
	jobs := map[string]*Job{}
	chunks := map[string]*TaskGroup{}
	var tasks []*Task
	err := decodePage(value, func(job string, n, task int, m TaskStatus) {
		r := s.Get(RecordKey(block, job, n))
		if r == nil {
			return // over
		}
		if jobs[job] == nil {
			var rec userapi.Record
			if err := json.Unmarshal(all[userapi.KeyPrefix+job], &rec); err != nil || rec.Spec == nil {
				return // its description is gone with its end
			}
			jobs[job] = &Job{Spec: rec.Spec, Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{}}
		}
		if chunks[r.Key] == nil {
			chunks[r.Key] = LoadRecord(jobs[job], r)
		}
		k := chunks[r.Key].Tasks[r.position(task)]
		k.State, k.Attempt, k.WorkerID = m.State, m.Attempt, m.WorkerID
		tasks = append(tasks, k)
	})
	if err != nil {
		t.Fatalf("page %d: %v", number, err)
	}
	var was storedPage
	if err := json.Unmarshal(value, &was); err != nil {
		t.Fatal(err)
	}
	was.Entries = slices.DeleteFunc(was.Entries, func(e pageEntry) bool {
		job, _, _ := strings.Cut(e.Record, "/")
		return jobs[job] == nil || !slices.ContainsFunc(tasks, func(k *Task) bool { return strings.HasSuffix(k.Group.Key, "/"+e.Record) })
	})
	if len(was.Entries) == 0 {
		return
	}
	slices.SortFunc(was.Entries, func(a, b pageEntry) int { return strings.Compare(a.Record, b.Record) })
	want, err := json.Marshal(was)
	if err != nil {
		t.Fatal(err)
	}
	got, _, rest, err := PackPages(tasks, 10*tuning.MaxPageBytes, 12)
	if err != nil || len(got) != 1 || len(rest) > 0 || !bytes.Equal(got[0], want) {
		t.Errorf("page %d: was %s, is %s (%v)", number, want, got, err)
	}
}
