package work

import (
	"fmt"
	"strconv"
	"strings"
)

// appendRange adds first..last to a list like "0-3,7".
func appendRange(s []byte, first, last int) []byte {
	if len(s) > 0 {
		s = append(s, ',')
	}
	s = strconv.AppendInt(s, int64(first), 10)
	if last > first {
		s = append(s, '-')
		s = strconv.AppendInt(s, int64(last), 10)
	}
	return s
}

// formatRanges writes ascending numbers as a list like "0-3,7".
func formatRanges(list []int) string {
	var out []byte
	for i := 0; i < len(list); i++ {
		first := i
		for i+1 < len(list) && list[i+1] == list[i]+1 {
			i++
		}
		out = appendRange(out, list[first], list[i])
	}
	return string(out)
}

// parseRanges reads such a list; numbers must ascend and stay below limit.
func parseRanges(s string, limit int) ([]int, error) {
	if s == "" {
		return nil, nil
	}
	var list []int
	for part := range strings.SplitSeq(s, ",") {
		lo, hi, ranged := strings.Cut(part, "-")
		first, err := strconv.Atoi(lo)
		last := first
		if err == nil && ranged {
			last, err = strconv.Atoi(hi)
		}
		if err != nil || first < 0 || last < first || last >= limit ||
			(len(list) > 0 && first <= list[len(list)-1]) {
			return nil, fmt.Errorf("malformed ranges %q", s)
		}
		for i := first; i <= last; i++ {
			list = append(list, i)
		}
	}
	return list, nil
}
