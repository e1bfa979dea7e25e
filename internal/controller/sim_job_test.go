package controller

import (
	"encoding/json"
	"fmt"
	"time"
)

// jobSpec is a job as a user submits it, and the behavior of its tasks.
type jobSpec struct {
	id, team        string
	tasks           int
	cpus            float64 // of each task
	urgent          bool    // priority urgent instead of standard
	gang            bool    // all of its tasks run together
	service         bool    // its tasks run until the job is cancelled
	estimateSeconds int     // the user's estimate, 0: 5

	machineTypes []string // the allowed ones, nil: any
	spot         bool     // spot machines are allowed
	zone         string   // the only allowed one, "": any
	sameZone     bool     // all tasks must be in one zone
	spread       bool     // at most half of the tasks, rounded up, may be in one zone

	runTime           time.Duration // of task 0
	runTimeStep       time.Duration // added for each further task index
	checkpointSeconds float64       // interval at which a gang saves, 0: never
	failsEverywhere   bool          // submitted with a mistake: its tasks end with an error on every machine
}

// simJob is a job, its progress on the machines and its state as its user knows it.
type simJob struct {
	jobSpec
	jobProgress
	userKnowledge
}

// jobProgress is a job's progress on the machines.
type jobProgress struct {
	startedAt  time.Duration // start of its first task, 0: none has started
	completed  map[int]bool  // by task index
	checkpoint time.Duration // saved progress from which a gang continues
	attempts   map[uint64]*simGang
	gangStarts int // attempts in which all tasks ran
	// heldRunning makes tasks whose run time is over run for it once more.
	heldRunning bool
}

// userKnowledge is the state of a job as its user knows it: the user's requests and the answers.
type userKnowledge struct {
	accepted        bool
	cancel          func() // makes the user cancel the job; nil before it is accepted
	cancelRequested bool
	cancelledAt     time.Duration // when its user was first told that it is cancelled, 0: never
	reportedPhase   string        // "done", "cancelled", or "" before either was reported
}

// jobID returns the ID of the job with a number.
func jobID(number int) string { return fmt.Sprintf("wk-%06d", number) }

// teamOf returns the team of the job with a number; the teams alternate.
func teamOf(number int) string { return []string{"red", "blue"}[number%2] }

// newJob returns a job that has not been submitted.
func newJob(spec jobSpec) *simJob {
	return &simJob{jobSpec: spec, jobProgress: jobProgress{completed: map[int]bool{}}}
}

// ended reports whether the user was told that the job is done or cancelled.
func (j *simJob) ended() bool { return j.reportedPhase != "" }

// body returns the JSON body of the submission.
func (s *jobSpec) body() []byte {
	urgency := "standard"
	if s.urgent {
		urgency = "urgent"
	}
	var zone any
	if s.zone != "" {
		zone = s.zone
	}
	shape, estimate := s.shapeAndEstimate()
	raw, err := json.Marshal(map[string]any{
		"id": s.id, "lane": "x", "crew": s.team, "shape": shape, "urgency": urgency,
		"pieces": s.tasks, "cpus": s.cpus, "cards": 0, "memoryGb": 1, "kit": "img-" + s.id[len(s.id)-1:], "pullGb": 2.5,
		"builds": s.machineTypes, "yard": zone, "samePlace": s.sameZone, "spread": s.spread, "loaners": s.spot,
		"expectS": estimate, "snapshotS": s.checkpointSeconds, "flushS": 1, "dueS": nil,
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// shapeAndEstimate returns the submission's shape of the job and its estimated run time.
func (s *jobSpec) shapeAndEstimate() (shape string, estimateSeconds int) {
	switch {
	case s.service:
		return "daemon", 0
	case s.gang:
		shape = "gang"
	default:
		shape = "array"
	}
	if s.estimateSeconds > 0 {
		return shape, s.estimateSeconds
	}
	return shape, 5
}
