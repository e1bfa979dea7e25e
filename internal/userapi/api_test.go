package userapi

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// submissionRun submits jobs to an API and counts the answers to each submission.
type submissionRun struct {
	*testAPI
	answerCounts []int // by submission, in the order sent
}

// submit submits a job with a drawn ID, possibly one that was submitted before. It checks that
// the job is durable when the answer says so, and that a 503 has a retry interval.
func (r *submissionRun) submit(t *rapid.T) {
	index, id := len(r.answerCounts), rapid.IntRange(0, 9).Draw(t, "id")
	r.answerCounts = append(r.answerCounts, 0)
	r.Submit(submissionBody(id), func(status int, _ []byte, retryAfter int) {
		r.answerCounts[index]++
		if (status == 201 || status == 200) && r.service.revisions[fmt.Sprintf("%swk-%06d", KeyPrefix, id)] == 0 {
			t.Fatalf("submission of job %d: answered %d before the job was durable", id, status)
		}
		if status == 503 && retryAfter == 0 {
			t.Fatalf("submission of job %d: answered 503 without a retry interval", id)
		}
	})
}

// step answers the oldest request to the state service: a commit with a drawn outcome, any
// other request with an empty watch answer. Without a request it fires the oldest timer, if
// any.
func (r *submissionRun) step(t *rapid.T) {
	service := r.service
	if len(service.requests) == 0 {
		if len(service.timers) > 0 {
			service.fireNext(300 * time.Millisecond)
		}
		return
	}
	next := service.popRequest()
	if next.call.Target != "/commit" {
		next.answer(service.emptyWatchAnswer(), nil)
		return
	}
	switch rapid.IntRange(0, 4).Draw(t, "commit outcome") {
	case 0: // applied, but the answer is lost
		service.commit(next.call.Body)
		next.answer(http1.Response{}, eventloop.ErrNoAnswer)
	case 1: // refused
		next.answer(http1.Response{Status: 503}, nil)
	case 2: // applied twice
		response := service.commit(next.call.Body)
		service.commit(next.call.Body)
		next.answer(response, nil)
	default:
		next.answer(service.commit(next.call.Body), nil)
	}
}

// TestSubmissionsAreDurableBeforeAccepted checks that every submission is answered exactly
// once, and with 201 or 200 only when its record is in the state service, whatever the
// outcomes of the commits: applied, applied with the answer lost, applied twice or refused.
func TestSubmissionsAreDurableBeforeAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &submissionRun{testAPI: startAPI(nil, 0, "", 1)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "submit") {
				run.submit(t)
			} else {
				run.step(t)
			}
		}
		for range 2000 {
			run.step(t)
			if len(run.service.requests) == 0 && len(run.service.timers) == 0 {
				break
			}
		}
		for index, count := range run.answerCounts {
			if count != 1 {
				t.Fatalf("submission %d: answered %d times, want 1", index, count)
			}
		}
	})
}
