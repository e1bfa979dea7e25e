package drain

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// KeyPrefix of all keys of the drains.
const KeyPrefix = "drain/"

// Parts of a drain's keys: drain/ID/head, drain/ID/page/N, drain/ID/grant/N.
const (
	headKind  = "head"
	pageKind  = "page"
	grantKind = "grant"
)

// HeadKey is the key of a drain's head. A drain exists when its head does.
func HeadKey(id string) string { return KeyPrefix + id + "/" + headKind }

// PageKey is the key of a page of a drain's machines.
func PageKey(id string, number int) string {
	return KeyPrefix + id + "/" + pageKind + "/" + strconv.Itoa(number)
}

// GrantKey is the key of a grant. Numbers of a drain are never reused.
func GrantKey(id string, number uint64) string {
	return KeyPrefix + id + "/" + grantKind + "/" + strconv.FormatUint(number, 10)
}

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)

// ValidID tells whether a string can name a drain.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// recordKey is a parsed key.
type recordKey struct {
	drainID string
	kind    string
	number  uint64
}

func parseKey(raw string) (recordKey, error) {
	segments := strings.Split(strings.TrimPrefix(raw, KeyPrefix), "/")
	if len(segments) == 2 && segments[1] == headKind && ValidID(segments[0]) {
		return recordKey{drainID: segments[0], kind: headKind}, nil
	}
	if len(segments) == 3 && ValidID(segments[0]) && (segments[1] == pageKind || segments[1] == grantKind) {
		if number, err := strconv.ParseUint(segments[2], 10, 31); err == nil {
			return recordKey{segments[0], segments[1], number}, nil
		}
	}
	return recordKey{}, fmt.Errorf("not a key of a drain: %q", raw)
}
