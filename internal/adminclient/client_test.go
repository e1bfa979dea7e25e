package adminclient

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// scriptedSender answers from a script, by endpoint. What is not in the script takes the
// whole timeout.
type scriptedSender struct {
	now     time.Time
	answers map[string][]string // in their order; the last one stays
	asked   []string
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

func judge(answer []byte) (Outcome, error) {
	switch text := string(answer); text {
	case "garbage":
		return Outcome{}, errors.New("not JSON")
	case "later":
		return Outcome{Reason: "does not lead", Retry: 2 * time.Second}, nil
	default:
		return Outcome{Final: true, Reason: text}, nil
	}
}

// TestAskRetriesUntilANodeAnswers: dead nodes, ones that do not lead and ones that answer nonsense are
// passed over, and asked again, until one answers.
func TestAskRetriesUntilANodeAnswers(t *testing.T) {
	s := &scriptedSender{answers: map[string][]string{"e0": {""}, "e1": {"later", "garbage", "done"}, "e2": {"later"}}}
	if err := newTestClient(s, time.Minute).Ask("/x", 1, judge); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(s.asked, " "); got != "e0 e1 e2 e0 e1 e2 e0 e1" {
		t.Error(got)
	}
}

// TestAskWithoutAnswerNamesEveryNode: it ends within the time limit, and the error gives the
// reason for each node.
func TestAskWithoutAnswerNamesEveryNode(t *testing.T) {
	for _, timeout := range []time.Duration{time.Second, 7 * time.Second, 20 * time.Second} {
		s := &scriptedSender{answers: map[string][]string{"e1": {"later"}}}
		begun := s.now
		err := newTestClient(s, timeout).Ask("/x", 1, judge)
		var noAnswer *NoAnswerError
		if !errors.As(err, &noAnswer) || len(noAnswer.Failures) != 3 {
			t.Fatalf("%v", err)
		}
		if took := s.now.Sub(begun); took > timeout {
			t.Errorf("%v instead of %v", took, timeout)
		}
		for _, words := range []string{"n0 (e0): connection refused", "n1 (e1): ", "n2 (e2): "} {
			if !strings.Contains(err.Error(), words) {
				t.Errorf("%q is not in %q", words, err)
			}
		}
		if strings.Contains(err.Error(), "\n") {
			t.Errorf("more than a line: %q", err)
		}
	}
}
