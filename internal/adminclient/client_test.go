package adminclient

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// scriptedSender returns scripted answers for each endpoint. A request without a scripted
// answer, or with an empty one, fails after the whole timeout.
type scriptedSender struct {
	now     time.Time
	answers map[string][]string // by endpoint, in order; the last one is repeated
	asked   []string            // endpoints, in order
}

func (s *scriptedSender) Send(endpoint, _ string, _ []byte, timeout time.Duration) ([]byte, error) {
	s.asked = append(s.asked, endpoint)
	list := s.answers[endpoint]
	if len(list) == 0 || list[0] == "" {
		s.now = s.now.Add(timeout)
		if len(list) > 1 {
			s.answers[endpoint] = list[1:]
		}
		return nil, errors.New("connection refused")
	}
	if len(list) > 1 {
		s.answers[endpoint] = list[1:]
	}
	return []byte(list[0]), nil
}

func newTestClient(s *scriptedSender, timeout time.Duration) *Client {
	c := NewClient(s, []Node{{"n0", "e0"}, {"n1", "e1"}, {"n2", "e2"}}, timeout)
	c.Now = func() time.Time { return s.now }
	c.Sleep = func(d time.Duration) { s.now = s.now.Add(d) }
	return c
}

func evaluate(answer []byte) (Outcome, error) {
	switch text := string(answer); text {
	case "garbage":
		return Outcome{}, errors.New("not JSON")
	case "later":
		return Outcome{Reason: "does not lead", Retry: 2 * time.Second}, nil
	default:
		return Outcome{Final: true, Reason: text}, nil
	}
}

// TestAskRetriesUntilANodeAnswers checks that nodes that are unreachable, are not the leader or
// send malformed answers are skipped, and asked again in the same order, until one gives a
// final answer.
func TestAskRetriesUntilANodeAnswers(t *testing.T) {
	s := &scriptedSender{answers: map[string][]string{"e0": {""}, "e1": {"later", "garbage", "done"}, "e2": {"later"}}}
	if err := newTestClient(s, time.Minute).Ask("/x", 1, evaluate); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(s.asked, " "); got != "e0 e1 e2 e0 e1 e2 e0 e1" {
		t.Errorf("endpoints asked: %s, want e0 e1 e2 twice and then e0 e1", got)
	}
}

// TestAskWithoutAnswerNamesEveryNode checks that a request without a final answer ends within
// its timeout, with an error of one line that gives the reason for each node.
func TestAskWithoutAnswerNamesEveryNode(t *testing.T) {
	for _, timeout := range []time.Duration{time.Second, 7 * time.Second, 20 * time.Second} {
		s := &scriptedSender{answers: map[string][]string{"e1": {"later"}}}
		begun := s.now
		err := newTestClient(s, timeout).Ask("/x", 1, evaluate)
		var noAnswer *NoAnswerError
		if !errors.As(err, &noAnswer) || len(noAnswer.Failures) != 3 {
			t.Fatalf("timeout %v: error %v, want a NoAnswerError with 3 failures", timeout, err)
		}
		if took := s.now.Sub(begun); took > timeout {
			t.Errorf("the request took %v, want at most %v", took, timeout)
		}
		for _, words := range []string{"n0 (e0): connection refused", "n1 (e1): ", "n2 (e2): "} {
			if !strings.Contains(err.Error(), words) {
				t.Errorf("error %q does not contain %q", err, words)
			}
		}
		if strings.Contains(err.Error(), "\n") {
			t.Errorf("error of more than one line: %q", err)
		}
	}
}
