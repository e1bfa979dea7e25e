package taskstate

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// errInvalidRanges tells that a list of ranges cannot be parsed.
var errInvalidRanges = errors.New("invalid ranges")

// indexRange is a range of tasks with the same last attempt. Both ends belong to it.
type indexRange struct {
	first, last int
	attempt     uint64
}

// usualAttempt is the attempt that the stored form leaves out: most tasks run once.
const usualAttempt = 1

// rangeList joins tasks, added in ascending order, into ranges and writes these like
// "0-3,7@2": tasks 0 to 3 with the usual attempt, task 7 with attempt 2.
type rangeList struct {
	text    []byte     // the ranges before the last one
	last    indexRange // may still grow
	hasLast bool
}

// extends reports whether a task makes the last range longer.
func (l *rangeList) extends(index int, attempt uint64) bool {
	return l.hasLast && l.last.last+1 == index && l.last.attempt == attempt
}

// add takes in the next task.
func (l *rangeList) add(index int, attempt uint64) {
	if l.extends(index, attempt) {
		l.last.last = index
		return
	}
	l.finishLast()
	l.last, l.hasLast = indexRange{index, index, attempt}, true
}

// finishLast writes the last range.
func (l *rangeList) finishLast() {
	if l.hasLast {
		l.text, l.hasLast = appendRange(l.text, l.last), false
	}
}

// String returns the stored form. No task may be added afterwards that would have made the
// last range longer.
func (l *rangeList) String() string {
	l.finishLast()
	return string(l.text)
}

// appendRange appends a range to the stored form of a list.
func appendRange(text []byte, part indexRange) []byte {
	if len(text) > 0 {
		text = append(text, ',')
	}
	text = strconv.AppendInt(text, int64(part.first), 10)
	if part.last > part.first {
		text = append(text, '-')
		text = strconv.AppendInt(text, int64(part.last), 10)
	}
	if part.attempt != usualAttempt {
		text = append(text, '@')
		text = strconv.AppendUint(text, part.attempt, 10)
	}
	return text
}

// parseRanges calls fn for each range of a list in its stored form. The ranges must ascend
// and stay below limit. It stops at the first error.
func parseRanges(text string, limit int, fn func(indexRange) error) error {
	if text == "" {
		return nil
	}
	previous := -1
	for part := range strings.SplitSeq(text, ",") {
		parsed, ok := parseRange(part)
		if !ok || parsed.first <= previous || parsed.last < parsed.first || parsed.last >= limit {
			return fmt.Errorf("%w %q", errInvalidRanges, text)
		}
		previous = parsed.last
		if err := fn(parsed); err != nil {
			return err
		}
	}
	return nil
}

// parseRange parses one range.
func parseRange(text string) (parsed indexRange, ok bool) {
	span, attempt, hasAttempt := strings.Cut(text, "@")
	first, last, isSpan := strings.Cut(span, "-")
	parsed.attempt = usualAttempt
	var err error
	if parsed.first, err = strconv.Atoi(first); err != nil {
		return parsed, false
	}
	parsed.last = parsed.first
	if isSpan {
		if parsed.last, err = strconv.Atoi(last); err != nil {
			return parsed, false
		}
	}
	if hasAttempt {
		if parsed.attempt, err = strconv.ParseUint(attempt, 10, 64); err != nil {
			return parsed, false
		}
	}
	return parsed, true
}
