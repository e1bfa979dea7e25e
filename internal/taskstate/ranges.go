package taskstate

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// errInvalidRanges is the error for a list of ranges that cannot be parsed.
var errInvalidRanges = errors.New("invalid ranges")

// indexRange is a range of tasks with the same last attempt. Both ends are inclusive.
type indexRange struct {
	first, last int
	lastAttempt uint64
}

// defaultAttempt is the attempt that the stored form omits, because most tasks run once.
const defaultAttempt = 1

// rangeList merges tasks, added in ascending order, into ranges. Its stored form is like
// "0-3,7@2": tasks 0 to 3 with the default attempt, task 7 with attempt 2.
type rangeList struct {
	text       []byte     // the stored form of the ranges before pending
	pending    indexRange // the last range, which may still be extended
	hasPending bool
}

// extends reports whether a task would extend the pending range.
func (l *rangeList) extends(index int, attempt uint64) bool {
	return l.hasPending && l.pending.last+1 == index && l.pending.lastAttempt == attempt
}

// add adds the next task.
func (l *rangeList) add(index int, attempt uint64) {
	if l.extends(index, attempt) {
		l.pending.last = index
		return
	}
	l.flushPending()
	l.pending, l.hasPending = indexRange{index, index, attempt}, true
}

// flushPending appends the pending range to the stored form.
func (l *rangeList) flushPending() {
	if l.hasPending {
		l.text, l.hasPending = appendRange(l.text, l.pending), false
	}
}

// String returns the stored form. A task that would have extended the last range must not be
// added afterwards.
func (l *rangeList) String() string {
	l.flushPending()
	return string(l.text)
}

// appendRange appends a range to the stored form of a list.
func appendRange(text []byte, indexes indexRange) []byte {
	if len(text) > 0 {
		text = append(text, ',')
	}
	text = strconv.AppendInt(text, int64(indexes.first), 10)
	if indexes.last > indexes.first {
		text = append(text, '-')
		text = strconv.AppendInt(text, int64(indexes.last), 10)
	}
	if indexes.lastAttempt != defaultAttempt {
		text = append(text, '@')
		text = strconv.AppendUint(text, indexes.lastAttempt, 10)
	}
	return text
}

// parseRanges calls fn for each range of a list in its stored form. The ranges must be
// ascending and below limit. It stops at the first error.
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

// parseRange parses the stored form of one range.
func parseRange(text string) (parsed indexRange, ok bool) {
	span, attempt, hasAttempt := strings.Cut(text, "@")
	first, last, isSpan := strings.Cut(span, "-")
	parsed.lastAttempt = defaultAttempt
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
		if parsed.lastAttempt, err = strconv.ParseUint(attempt, 10, 64); err != nil {
			return parsed, false
		}
	}
	return parsed, true
}
