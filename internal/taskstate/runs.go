package taskstate

import (
	"fmt"
	"strconv"
	"strings"
)

// indexRange is a stretch of tasks with the same last attempt.
type indexRange struct {
	first, last int
	attempt     uint64
}

// usualAttempt is the attempt that runs leave out: most tasks run once.
const usualAttempt = 1

// appendRange adds a run to a list like "0-3,7@2".
func appendRange(s []byte, r indexRange) []byte {
	if len(s) > 0 {
		s = append(s, ',')
	}
	s = strconv.AppendInt(s, int64(r.first), 10)
	if r.last > r.first {
		s = append(s, '-')
		s = strconv.AppendInt(s, int64(r.last), 10)
	}
	if r.attempt != usualAttempt {
		s = append(s, '@')
		s = strconv.AppendUint(s, r.attempt, 10)
	}
	return s
}

// rangeList joins single tasks, in ascending order, into runs.
type rangeList struct {
	text []byte
	last indexRange
	hasLast  bool
}

// extends tells whether a task makes the last run longer.
func (r *rangeList) extends(i int, attempt uint64) bool {
	return r.hasLast && r.last.last+1 == i && r.last.attempt == attempt
}

func (r *rangeList) add(i int, attempt uint64) {
	if r.extends(i, attempt) {
		r.last.last = i
		return
	}
	if r.hasLast {
		r.text = appendRange(r.text, r.last)
	}
	r.last, r.hasLast = indexRange{i, i, attempt}, true
}

func (r *rangeList) String() string {
	if r.hasLast {
		r.text, r.hasLast = appendRange(r.text, r.last), false
	}
	return string(r.text)
}

// parseRanges reads a list of runs; numbers must ascend and stay below limit.
func parseRanges(s string, limit int, fn func(indexRange) error) error {
	if s == "" {
		return nil
	}
	before := -1
	for part := range strings.SplitSeq(s, ",") {
		r := indexRange{attempt: usualAttempt}
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
