package taskstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// ErrInvalidRecord is the error for a stored record that cannot be decoded or contradicts
// itself.
var ErrInvalidRecord = errors.New("invalid record")

// storedRecord is the JSON form of a record. Lists of tasks are in the form of rangeList.
// Returned, Placed and Attempts are written only by the first version of the program, which
// stored the tasks' states in the record. Done is also written for gangs by later versions.
type storedRecord struct {
	Indexes      string                     `json:"i"`
	LastAttempts string                     `json:"w,omitempty"`
	Zones        []string                   `json:"z,omitempty"`
	GangAttempt  uint64                     `json:"g,omitempty"`
	PartSize     int                        `json:"n,omitempty"`
	Done         string                     `json:"d,omitempty"`
	Returned     string                     `json:"r,omitempty"`
	Placed       map[string]storedPlacement `json:"p,omitempty"` // by task index
	Attempts     map[string]uint64          `json:"a,omitempty"` // by task index
}

// storedPlacement is the placement of a task as stored by the first version.
type storedPlacement struct {
	WorkerID string `json:"h"`
	Attempt  uint64 `json:"t"`
}

// Encode returns the stored form of a record that is being dispatched. Of the tasks' states it
// contains only done.
func (r *Record) Encode() (json.RawMessage, error) {
	var indexes, lastAttempts, done rangeList
	for position, index := range r.TaskIndexes {
		indexes.add(index, defaultAttempt)
		if r.Statuses[position].State == StateDone {
			done.add(index, defaultAttempt)
		}
		if attempt := r.Statuses[position].Attempt; attempt > 0 {
			lastAttempts.add(index, attempt)
		}
	}
	return json.Marshal(storedRecord{
		Indexes: indexes.String(), LastAttempts: lastAttempts.String(), Zones: r.Zones,
		GangAttempt: r.GangAttempt, PartSize: r.PartSize, Done: done.String(),
	})
}

// DecodeRecord decodes a stored record. Its errors wrap ErrInvalidKey or ErrInvalidRecord.
func DecodeRecord(key string, value json.RawMessage, revision uint64) (*Record, error) {
	parsed, err := parseKey(key)
	if err == nil && parsed.isPage {
		err = fmt.Errorf("%w: %q is a log page's key, expected a record's", ErrInvalidKey, key)
	}
	if err != nil {
		return nil, err
	}
	var stored storedRecord
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("%w %s: %w", ErrInvalidRecord, key, err)
	}
	record := &Record{
		Key: key, Shard: parsed.shardIndex, Job: parsed.jobID, Number: parsed.number, Revision: revision,
		Zones: stored.Zones, GangAttempt: stored.GangAttempt, PartSize: stored.PartSize,
	}
	if err := record.decodeIndexes(stored.Indexes); err != nil {
		return nil, fmt.Errorf("%w %s: %w", ErrInvalidRecord, key, err)
	}
	record.clearStatuses()
	if err := record.decodeStatuses(&stored); err != nil {
		return nil, fmt.Errorf("%w %s: %w", ErrInvalidRecord, key, err)
	}
	return record, nil
}

// decodeIndexes decodes the task indexes of the record. A record without tasks is an error.
func (r *Record) decodeIndexes(text string) error {
	err := parseRanges(text, jobs.MaxTasks, func(indexes indexRange) error {
		if len(r.TaskIndexes)+indexes.last-indexes.first >= tuning.MaxRecordTasks {
			return fmt.Errorf("more than %d tasks", tuning.MaxRecordTasks)
		}
		for index := indexes.first; index <= indexes.last; index++ {
			r.TaskIndexes = append(r.TaskIndexes, index)
		}
		return nil
	})
	if err == nil && len(r.TaskIndexes) == 0 {
		return errors.New("no tasks")
	}
	return err
}

// decodeStatuses decodes the statuses in the record itself. The first version stored all
// statuses there.
func (r *Record) decodeStatuses(stored *storedRecord) error {
	for _, list := range []struct {
		text   string
		update func(*TaskStatus, uint64)
	}{
		{stored.LastAttempts, func(status *TaskStatus, attempt uint64) { status.Attempt = attempt }},
		{stored.Done, func(status *TaskStatus, _ uint64) { status.State = StateDone }},
		{stored.Returned, func(status *TaskStatus, _ uint64) { status.State = StateReturned }},
	} {
		if err := r.updateRanges(list.text, list.update); err != nil {
			return err
		}
	}
	for text, placement := range stored.Placed {
		err := r.updateNamedTask(text, func(status *TaskStatus) {
			status.State, status.Attempt, status.WorkerID = StatePlaced, placement.Attempt, placement.WorkerID
		})
		if err != nil {
			return err
		}
	}
	for text, attempt := range stored.Attempts {
		if err := r.updateNamedTask(text, func(status *TaskStatus) { status.Attempt = attempt }); err != nil {
			return err
		}
	}
	return nil
}

// updateRanges calls update for each task of a list in its stored form, with the task's
// status and its attempt in the list.
func (r *Record) updateRanges(text string, update func(*TaskStatus, uint64)) error {
	return parseRanges(text, jobs.MaxTasks, func(indexes indexRange) error {
		for index := indexes.first; index <= indexes.last; index++ {
			if err := r.updateTask(index, func(status *TaskStatus) { update(status, indexes.lastAttempt) }); err != nil {
				return err
			}
		}
		return nil
	})
}

// updateNamedTask calls update for the status of the task whose index is given as text.
func (r *Record) updateNamedTask(text string, update func(*TaskStatus)) error {
	index, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("task %q is not a task index", text)
	}
	return r.updateTask(index, update)
}

// updateTask calls update for the status of a task.
func (r *Record) updateTask(index int, update func(*TaskStatus)) error {
	position := r.position(index)
	if position < 0 {
		return fmt.Errorf("task %d is not in the record", index)
	}
	update(&r.Statuses[position])
	return nil
}
