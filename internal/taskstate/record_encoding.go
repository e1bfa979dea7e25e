package taskstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// ErrInvalidRecord tells that a stored record cannot be decoded or contradicts itself.
var ErrInvalidRecord = errors.New("invalid record")

// storedRecord is the JSON form of a record. Lists of tasks are in the form of rangeList.
// Returned, Placed and Attempts are written by the first version of the program only, which
// kept the tasks' states here; Done is written for gangs too.
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

// storedPlacement is where the first version had a task.
type storedPlacement struct {
	WorkerID string `json:"h"`
	Attempt  uint64 `json:"t"`
}

// Encode returns the stored form of a record that is being dispatched: statuses other than
// done are not part of it.
func (r *Record) Encode() (json.RawMessage, error) {
	var indexes, lastAttempts, done rangeList
	for position, index := range r.TaskIndexes {
		indexes.add(index, usualAttempt)
		if r.Statuses[position].State == StateDone {
			done.add(index, usualAttempt)
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

// DecodeRecord returns a stored record. Its errors are ErrInvalidKey and ErrInvalidRecord.
func DecodeRecord(key string, value json.RawMessage, revision uint64) (*Record, error) {
	parsed, err := parseKey(key)
	if err == nil && parsed.isPage {
		err = fmt.Errorf("%w: %q is a log page's", ErrInvalidKey, key)
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

// decodeIndexes takes in which tasks the record has: at least one.
func (r *Record) decodeIndexes(text string) error {
	err := parseRanges(text, jobs.MaxTasks, func(part indexRange) error {
		if len(r.TaskIndexes)+part.last-part.first >= tuning.MaxRecordTasks {
			return fmt.Errorf("more than %d tasks", tuning.MaxRecordTasks)
		}
		for index := part.first; index <= part.last; index++ {
			r.TaskIndexes = append(r.TaskIndexes, index)
		}
		return nil
	})
	if err == nil && len(r.TaskIndexes) == 0 {
		return errors.New("no tasks")
	}
	return err
}

// decodeStatuses takes in what the record itself says of its tasks; the first version kept
// all of it there.
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

// updateRanges calls update for the status of each listed task, with the attempt that the
// list gives it.
func (r *Record) updateRanges(text string, update func(*TaskStatus, uint64)) error {
	return parseRanges(text, jobs.MaxTasks, func(part indexRange) error {
		for index := part.first; index <= part.last; index++ {
			if err := r.updateTask(index, func(status *TaskStatus) { update(status, part.attempt) }); err != nil {
				return err
			}
		}
		return nil
	})
}

// updateNamedTask calls update for the status of the task that a text names.
func (r *Record) updateNamedTask(text string, update func(*TaskStatus)) error {
	index, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("no task %q", text)
	}
	return r.updateTask(index, update)
}

func (r *Record) updateTask(index int, update func(*TaskStatus)) error {
	position := r.position(index)
	if position < 0 {
		return fmt.Errorf("no task %d", index)
	}
	update(&r.Statuses[position])
	return nil
}
