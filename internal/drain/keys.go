package drain

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// KeyPrefix is the prefix of every key of the drains in the state service.
const KeyPrefix = "drain/"

// recordKind is the segment of a key that identifies the kind of the record. The keys are
// drain/ID/head, drain/ID/page/N and drain/ID/grant/N.
type recordKind string

const (
	headKind  recordKind = "head"
	pageKind  recordKind = "page"
	grantKind recordKind = "grant"
)

// HeadKey returns the key of a drain's head. A drain exists when its head does.
func HeadKey(drainID string) string { return KeyPrefix + drainID + "/" + string(headKind) }

// PageKey returns the key of a page of a drain's machines. Pages are numbered from 0.
func PageKey(drainID string, number int) string {
	return KeyPrefix + drainID + "/" + string(pageKind) + "/" + strconv.Itoa(number)
}

// GrantKey returns the key of a grant. The grants of a drain are numbered from 1.
func GrantKey(drainID string, number uint64) string {
	return KeyPrefix + drainID + "/" + string(grantKind) + "/" + strconv.FormatUint(number, 10)
}

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)

// ValidID reports whether a string is a valid ID of a drain.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// recordKey is a parsed key. The number is 0 for heads.
type recordKey struct {
	drainID string
	kind    recordKind
	number  uint64
}

// errForeignKey reports a key that HeadKey, PageKey and GrantKey do not produce.
var errForeignKey = errors.New("not a key of a drain")

// parseKey parses a key that HeadKey, PageKey or GrantKey returned. For any other key it
// returns an error that wraps errForeignKey.
func parseKey(raw string) (recordKey, error) {
	segments := strings.Split(strings.TrimPrefix(raw, KeyPrefix), "/")
	if !ValidID(segments[0]) {
		return recordKey{}, fmt.Errorf("%w: %q", errForeignKey, raw)
	}
	if len(segments) == 2 && segments[1] == string(headKind) {
		return recordKey{drainID: segments[0], kind: headKind}, nil
	}
	if len(segments) == 3 && (segments[1] == string(pageKind) || segments[1] == string(grantKind)) {
		if number, err := strconv.ParseUint(segments[2], 10, 31); err == nil {
			return recordKey{segments[0], recordKind(segments[1]), number}, nil
		}
	}
	return recordKey{}, fmt.Errorf("%w: %q", errForeignKey, raw)
}
