package taskstate

import (
	"fmt"
	"strconv"
	"strings"
)

// run is a stretch of tasks with the same last attempt.
type run struct {
	first, last int
	attempt     uint64
}

// usual is the attempt that runs leave out: most tasks run once.
const usual = 1

// appendRun adds a run to a list like "0-3,7@2".
func appendRun(s []byte, r run) []byte {
	if len(s) > 0 {
		s = append(s, ',')
	}
	s = strconv.AppendInt(s, int64(r.first), 10)
	if r.last > r.first {
		s = append(s, '-')
		s = strconv.AppendInt(s, int64(r.last), 10)
	}
	if r.attempt != usual {
		s = append(s, '@')
		s = strconv.AppendUint(s, r.attempt, 10)
	}
	return s
}

// runsOf joins single tasks, in ascending order, into runs.
type runsOf struct {
	text []byte
	open run
	any  bool
}

// extends tells whether a task makes the last run longer.
func (r *runsOf) extends(i int, attempt uint64) bool {
	return r.any && r.open.last+1 == i && r.open.attempt == attempt
}

func (r *runsOf) add(i int, attempt uint64) {
	if r.extends(i, attempt) {
		r.open.last = i
		return
	}
	if r.any {
		r.text = appendRun(r.text, r.open)
	}
	r.open, r.any = run{i, i, attempt}, true
}

func (r *runsOf) String() string {
	if r.any {
		r.text, r.any = appendRun(r.text, r.open), false
	}
	return string(r.text)
}

// parseRuns reads a list of runs; numbers must ascend and stay below limit.
func parseRuns(s string, limit int, fn func(run) error) error {
	if s == "" {
		return nil
	}
	before := -1
	for part := range strings.SplitSeq(s, ",") {
		r := run{attempt: usual}
		span, at, marked := strings.Cut(part, "@")
		lo, hi, ranged := strings.Cut(span, "-")
		var err error
		if r.first, err = strconv.Atoi(lo); err == nil && ranged {
			r.last, err = strconv.Atoi(hi)
		} else {
			r.last = r.first
		}
		if err == nil && marked {
			r.attempt, err = strconv.ParseUint(at, 10, 64)
		}
		if err != nil || r.first <= before || r.last < r.first || r.last >= limit {
			return fmt.Errorf("malformed runs %q", s)
		}
		before = r.last
		if err := fn(r); err != nil {
			return err
		}
	}
	return nil
}
