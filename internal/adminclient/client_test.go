package adminclient

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// sender answers from a script, by endpoint, and takes its time.
type sender struct {
	now     time.Time
	answers map[string][]string // in their order; the last one stays
	asked   []string
}

func (s *sender) Send(endpoint, path string, body []byte, timeout time.Duration) ([]byte, error) {
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

func client(s *sender, timeout time.Duration) *Client {
	c := NewClient(s, []Node{{"n0", "e0"}, {"n1", "e1"}, {"n2", "e2"}}, timeout)
	c.Now = func() time.Time { return s.now }
	c.Sleep = func(d time.Duration) { s.now = s.now.Add(d) }
	return c
}

func judge(answer []byte) (Verdict, error) {
	switch text := string(answer); text {
	case "garbage":
		return Verdict{}, errors.New("not JSON")
	case "later":
		return Verdict{Reason: "does not lead", Retry: 2 * time.Second}, nil
	default:
		return Verdict{Final: true, Reason: text}, nil
	}
}

// TestAskAnyNode: dead nodes, ones that do not lead and ones that answer nonsense are
// passed over, and asked again, until one answers.
func TestAskAnyNode(t *testing.T) {
	s := &sender{answers: map[string][]string{"e0": {""}, "e1": {"later", "garbage", "done"}, "e2": {"later"}}}
	if err := client(s, time.Minute).Ask("/x", 1, judge); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(s.asked, " "); got != "e0 e1 e2 e0 e1 e2 e0 e1" {
		t.Error(got)
	}
}

// TestAskInVain: within the time limit, and every node is named with the reason.
func TestAskInVain(t *testing.T) {
	for _, timeout := range []time.Duration{time.Second, 7 * time.Second, 20 * time.Second} {
		s := &sender{answers: map[string][]string{"e1": {"later"}}}
		begun := s.now
		err := client(s, timeout).Ask("/x", 1, judge)
		var silent *NoAnswerError
		if !errors.As(err, &silent) || len(silent.Asked) != 3 {
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
