package controller

import (
	"encoding/json"
	"fmt"
	"time"
)

// jobSpec is what a user submits, and how its tasks then run.
type jobSpec struct {
	id, team        string
	tasks           int
	cpus            float64 // of each task
	urgent          bool    // priority urgent instead of standard
	gang            bool    // its tasks run all together
	service         bool    // its tasks run until the job is cancelled
	estimateSeconds int     // the user's estimate, 0: 5

	machineTypes []string // that are allowed, nil: any
	spot         bool     // spot machines are allowed
	zone         string   // the only one allowed, "": any
	sameZone     bool     // all tasks must be in one zone
	spread       bool     // half of the tasks at most may be in one zone

	runTime           time.Duration // of task 0
	runTimeStep       time.Duration // each task takes so much longer than the one before
	checkpointSeconds float64       // interval at which a gang saves, 0: never
}

// simJob is a job, what has become of it, and what its user has been told.
type simJob struct {
	jobSpec
	jobProgress
	userKnowledge
}

// jobProgress is what has become of a job on the machines.
type jobProgress struct {
	startedAt  time.Duration // its first task, 0: none yet
	completed  map[int]bool  // by task index
	checkpoint time.Duration // progress that a gang goes on from
	attempts   map[uint64]*simGang
	gangStarts int // attempts of which all tasks have run
}

// userKnowledge is what a job's user has done and been told.
type userKnowledge struct {
	accepted        bool
	cancel          func() // has the user cancel it now; nil before it is accepted
	cancelRequested bool
	cancelledAt     time.Duration // when its user was told so, 0: never
	reportedPhase   string        // "done", "cancelled", or "" while it is neither
}

// jobID is the ID of the job of a number.
func jobID(number int) string { return fmt.Sprintf("wk-%06d", number) }

// teamOf has jobs belong to the teams in turn.
func teamOf(number int) string { return []string{"red", "blue"}[number%2] }

// newJob is a job that nobody has submitted yet.
func newJob(spec jobSpec) *simJob {
	return &simJob{jobSpec: spec, jobProgress: jobProgress{completed: map[int]bool{}}}
}

// over tells whether the user was told that the job has ended.
func (j *simJob) ended() bool { return j.reportedPhase != "" }

// body is the body of the submission.
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

// shapeAndEstimate is what the submission says of the kind of job and of its run time.
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
