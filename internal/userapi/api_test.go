package userapi

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonmoor/internal/eventloop"
	"lemonmoor/internal/http1"
)

// submissionPlay submits jobs to an API and counts the answers to each submission.
type submissionPlay struct {
	*testAPI
	answers []int
}

// submit submits a job, perhaps one that was submitted before.
func (p *submissionPlay) submit(t *rapid.T) {
	number, id := len(p.answers), rapid.IntRange(0, 9).Draw(t, "id")
	p.answers = append(p.answers, 0)
	p.Submit(submissionBody(id), func(status int, _ []byte, retryAfter int) {
		p.answers[number]++
		if (status == 201 || status == 200) && p.service.revisions[fmt.Sprintf("%swk-%06d", KeyPrefix, id)] == 0 {
			t.Fatalf("answered %d before the job was durable", status)
		}
		if status == 503 && retryAfter == 0 {
			t.Fatal("refused without a time to come back")
		}
	})
}

// step answers one request to the state service in one of the ways in which that can go; if
// there is none it fires a timer.
func (p *submissionPlay) step(t *rapid.T) {
	service := p.service
	if len(service.requests) == 0 {
		if len(service.timers) > 0 {
			service.fireNext(300 * time.Millisecond)
		}
		return
	}
	next := service.next()
	if next.call.Target != "/commit" {
		next.answer(service.nothingNew(), nil)
		return
	}
	switch rapid.IntRange(0, 4).Draw(t, "fate") {
	case 0: // carried out, the answer lost
		service.commit(next.call.Body)
		next.answer(http1.Response{}, eventloop.ErrNoAnswer)
	case 1:
		next.answer(http1.Response{Status: 503}, nil)
	case 2: // carried out twice
		response := service.commit(next.call.Body)
		service.commit(next.call.Body)
		next.answer(response, nil)
	default:
		next.answer(service.commit(next.call.Body), nil)
	}
}

// TestSubmissionsAreDurableBeforeAccepted: however commits end, every submission is answered
// once, and 201 only when its record is in the state service.
func TestSubmissionsAreDurableBeforeAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		play := &submissionPlay{testAPI: startAPI(nil, 0, "", 1)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "submit") {
				play.submit(t)
			} else {
				play.step(t)
			}
		}
		for range 2000 {
			play.step(t)
			if len(play.service.requests) == 0 && len(play.service.timers) == 0 {
				break
			}
		}
		for number, count := range play.answers {
			if count != 1 {
				t.Fatalf("submission %d was answered %d times", number, count)
			}
		}
	})
}
