package work

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// TestRecordsComeBack: a record, stored and read, and taken in and written by
// an owner, stays the same and within the smallest value limit.
func TestRecordsComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := rapid.SliceOfNDistinct(rapid.IntRange(0, jobs.MaxTasks-1), 1, tuning.ChunkTasks, rapid.ID[int]).Draw(t, "index")
		reflectSort(index)
		r := &Record{Block: 0, Job: "wk-000412", Number: rapid.IntRange(0, 9999).Draw(t, "number"), Stamp: 7, Index: index,
			Done: map[int]bool{}, Returned: map[int]bool{}, Placed: map[int]Place{}, Attempts: map[int]uint64{}}
		r.Key = Key(r.Block, r.Job, r.Number)
		for _, i := range index {
			switch rapid.IntRange(0, 4).Draw(t, "state") {
			case 0:
				r.Done[i] = true
			case 1:
				r.Placed[i] = Place{"vm-000231", rapid.Uint64Range(1, 1e6).Draw(t, "attempt")}
			case 2:
				r.Returned[i] = true
				r.Attempts[i] = rapid.Uint64Range(1, 1e6).Draw(t, "attempt")
			case 3:
				r.Attempts[i] = rapid.Uint64Range(1, 1e6).Draw(t, "attempt")
			}
		}
		raw, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if len(raw) > 8<<10 {
			t.Fatalf("%d bytes", len(raw))
		}
		back, err := Decode(r.Key, raw, 7)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(r, back) {
			t.Fatalf("stored %+v, read %+v", r, back)
		}
		j := &Job{Desc: &jobs.Description{ID: r.Job}, Tasks: map[int]*Task{}, Chunks: map[string]*Chunk{}}
		again := Load(j, back).Snapshot()
		again.Block, again.Stamp = r.Block, r.Stamp
		if !reflect.DeepEqual(r, again) {
			t.Fatalf("stored %+v, owner writes %+v", r, again)
		}
	})
}

func reflectSort(list []int) {
	for i := range list {
		for k := i; k > 0 && list[k] < list[k-1]; k-- {
			list[k], list[k-1] = list[k-1], list[k]
		}
	}
}

// TestBadRecords: what contradicts itself is refused, never half taken in.
func TestBadRecords(t *testing.T) {
	for _, bad := range []string{`{`, `{}`, `{"i":""}`, `{"i":"3-1"}`, `{"i":"0-200"}`, `{"i":"1,1"}`, `{"i":"0-3","d":"4"}`,
		`{"i":"0-3","p":{"9":{"h":"vm-1","t":1}}}`, `{"i":"0-3","a":{"x":1}}`, `{"i":"100000"}`} {
		if r, err := Decode("work/0/wk-1/0", []byte(bad), 1); err == nil {
			t.Errorf("%s gave %+v", bad, r)
		}
	}
	for _, key := range []string{"work/0/wk-1", "work/x/wk-1/0", "work/0/nojob/0", "work/0/wk-1/-1"} {
		if _, err := Decode(key, []byte(`{"i":"0"}`), 1); err == nil {
			t.Errorf("key %q was taken", key)
		}
	}
}
