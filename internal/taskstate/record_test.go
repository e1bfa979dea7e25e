package taskstate

import (
	"errors"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// TestRecordsRoundTrip checks that a record is unchanged after encoding and decoding, and that
// its stored form does not exceed the smallest value limit.
func TestRecordsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		indexes := rapid.SliceOfNDistinct(rapid.IntRange(0, jobs.MaxTasks-1), 1, tuning.MaxRecordTasks, rapid.ID[int]).Draw(t, "indexes")
		slices.Sort(indexes)
		lastAttempts := map[int]uint64{}
		for range rapid.IntRange(0, tuning.MaxRetriedRecordTasks).Draw(t, "retried") {
			index := indexes[rapid.IntRange(0, len(indexes)-1).Draw(t, "which")]
			lastAttempts[index] = rapid.Uint64Range(1, 1e6).Draw(t, "attempt")
		}
		record := NewRecord(0, "wk-000412", rapid.IntRange(0, 9999).Draw(t, "number"), indexes, nil, lastAttempts)
		record.Revision = 7
		value, err := record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if len(value) > 8<<10 {
			t.Fatalf("stored form of %d bytes, want at most %d", len(value), 8<<10)
		}
		decoded, err := DecodeRecord(record.Key, value, 7)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(record, decoded) {
			t.Fatalf("decoded %+v, want %+v", decoded, record)
		}
	})
}

// TestRecordsOfTheFirstVersionAreRead checks the decoding of records of the first version,
// which stored the tasks' states in the records.
func TestRecordsOfTheFirstVersionAreRead(t *testing.T) {
	record, err := DecodeRecord("work/0/wk-1/0", []byte(`{"i":"0-5","d":"0","r":"1","p":{"2":{"h":"vm-1","t":4}},"a":{"1":3,"5":2}}`), 1)
	if err != nil {
		t.Fatal(err)
	}
	want := []TaskStatus{{State: StateDone}, {State: StateReturned, Attempt: 3}, {State: StatePlaced, Attempt: 4, WorkerID: "vm-1"}, {}, {}, {Attempt: 2}}
	if !reflect.DeepEqual(record.Statuses, want) {
		t.Errorf("decoded statuses %+v, want %+v", record.Statuses, want)
	}
}

// TestInvalidRecordsAreRefused guards against applying an invalid or contradictory record, even
// in part.
func TestInvalidRecordsAreRefused(t *testing.T) {
	for _, value := range []string{
		`{`, `{}`, `{"i":""}`, `{"i":"3-1"}`, `{"i":"0-2000"}`, `{"i":"1,1"}`, `{"i":"0-3","d":"4"}`,
		`{"i":"0-3","p":{"9":{"h":"vm-1","t":1}}}`, `{"i":"0-3","a":{"x":1}}`, `{"i":"100000"}`, `{"i":"0","w":"0@x"}`,
	} {
		if record, err := DecodeRecord("work/0/wk-1/0", []byte(value), 1); !errors.Is(err, ErrInvalidRecord) {
			t.Errorf("decoding record %s: %+v and error %v, want ErrInvalidRecord", value, record, err)
		}
	}
	for _, key := range []string{"work/0/wk-1", "work/x/wk-1/0", "work/0/nojob/0", "work/0/wk-1/-1", "work/0/log/1"} {
		if _, err := DecodeRecord(key, []byte(`{"i":"0"}`), 1); !errors.Is(err, ErrInvalidKey) {
			t.Errorf("decoding a record with key %q: error %v, want ErrInvalidKey", key, err)
		}
	}
}
