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

// production is the data that the version in production has stored and sent, recorded from a
// simulated day.
type production struct {
	Snapshots []struct {
		Keys map[string]json.RawMessage `json:"keys"`
	} `json:"snapshots"`
}

func readProduction(t *testing.T) production {
	t.Helper()
	text, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var recorded production
	if err := json.Unmarshal(text, &recorded); err != nil {
		t.Fatal(err)
	}
	return recorded
}

// TestProductionRecords checks that each record and page of the version in production can be
// read and, for arrays, is encoded to the same bytes again. Either version must be able to
// continue with the data that the other has stored.
func TestProductionRecords(t *testing.T) {
	records, pages := 0, 0
	for _, snapshot := range readProduction(t).Snapshots {
		store := NewStore(nil, nil, slog.New(slog.DiscardHandler))
		for _, key := range keysInReadingOrder(snapshot.Keys) {
			value := snapshot.Keys[key]
			store.apply(key, value, 7)
			parsed, err := parseKey(key)
			if err != nil {
				t.Fatal(err)
			}
			if parsed.isPage {
				pages++
				checkRewrittenPage(t, store, snapshot.Keys, parsed, value)
				continue
			}
			records++
			record := store.Get(key)
			if record == nil {
				t.Fatalf("record %s is not in the store after applying it", key)
			}
			if rewritten, err := record.Encode(); err != nil || !bytes.Equal(rewritten, value) {
				t.Errorf("record %s encoded again: %s, want %s (%v)", key, rewritten, value, err)
			}
		}
	}
	if records < 20 || pages < 15 {
		t.Errorf("testdata has %d records and %d pages, want at least 20 and 15", records, pages)
	}
}

// keysInReadingOrder returns the keys of the records, followed by those of the log pages.
func keysInReadingOrder(all map[string]json.RawMessage) []string {
	var keys []string
	for key := range all {
		if strings.HasPrefix(key, KeyPrefix) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int {
		if x, y := strings.Contains(a, "/log/"), strings.Contains(b, "/log/"); x != y {
			if x {
				return 1
			}
			return -1
		}
		return strings.Compare(a, b)
	})
	return keys
}

// checkRewrittenPage decodes a log page, encodes it again and compares the two forms. It
// leaves out the entries of finished jobs, whose specs no longer exist.
func checkRewrittenPage(t *testing.T, store *Store, all map[string]json.RawMessage, key parsedKey, value json.RawMessage) {
	t.Helper()
	statuses, err := decodePage(value)
	if err != nil {
		t.Fatalf("page %d: %v", key.number, err)
	}
	jobs, groups := map[string]*Job{}, map[string]*TaskGroup{}
	var tasks []*Task
	for _, logged := range statuses {
		record := store.Get(RecordKey(key.shardIndex, logged.jobID, logged.number))
		if record == nil {
			continue // finished
		}
		if jobs[logged.jobID] == nil {
			var stored userapi.Record
			if err := json.Unmarshal(all[userapi.KeyPrefix+logged.jobID], &stored); err != nil || stored.Spec == nil {
				continue
			}
			jobs[logged.jobID] = &Job{Spec: stored.Spec, Tasks: map[int]*Task{}, Groups: map[string]*TaskGroup{}}
		}
		if groups[record.Key] == nil {
			groups[record.Key] = LoadRecord(jobs[logged.jobID], record)
		}
		task := groups[record.Key].Tasks[record.position(logged.index)]
		task.State, task.Attempt, task.WorkerID = logged.status.State, logged.status.Attempt, logged.status.WorkerID
		tasks = append(tasks, task)
	}
	var original storedPage
	if err := json.Unmarshal(value, &original); err != nil {
		t.Fatal(err)
	}
	original.Entries = slices.DeleteFunc(original.Entries, func(entry pageEntry) bool {
		jobID, _, _ := strings.Cut(entry.Record, "/")
		return jobs[jobID] == nil || !slices.ContainsFunc(tasks, func(task *Task) bool { return strings.HasSuffix(task.Group.Key, "/"+entry.Record) })
	})
	if len(original.Entries) == 0 {
		return
	}
	slices.SortFunc(original.Entries, func(a, b pageEntry) int { return strings.Compare(a.Record, b.Record) })
	want, err := json.Marshal(original)
	if err != nil {
		t.Fatal(err)
	}
	pages, rest, err := PackPages(tasks, 10*tuning.MaxPageBytes, 12)
	if err != nil || len(pages) != 1 || len(rest) > 0 || !bytes.Equal(pages[0].Value, want) {
		t.Errorf("page %d encoded again: %v, %d tasks left over, want %s (%v)", key.number, pages, len(rest), want, err)
	}
}
