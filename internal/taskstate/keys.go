package taskstate

import (
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"lemonmoor/internal/jobs"
)

// KeyPrefix is the prefix of the keys of all records and log pages:
// work/SHARD/JOB/NUMBER and work/SHARD/log/NUMBER.
const KeyPrefix = "work/"

// logName is the second part of a log page's key, where a record's key has the job ID.
const logName = "log"

// ErrInvalidKey is the error for a key below KeyPrefix that is neither a record's nor a log
// page's.
var ErrInvalidKey = errors.New("invalid key of a record or log page")

// RecordKey returns the key of a record.
func RecordKey(shardIndex int, jobID string, number int) string {
	return KeyPrefix + strconv.Itoa(shardIndex) + "/" + jobID + "/" + strconv.Itoa(number)
}

// PageKey returns the key of a page of a shard's log.
func PageKey(shardIndex, page int) string { return RecordKey(shardIndex, logName, page) }

// parsedKey is the key of a record or, if isPage is set, of a log page.
type parsedKey struct {
	shardIndex int
	jobID      string // empty for a page
	number     int
	isPage     bool
}

// parseKey parses the key of a record or log page. Its errors wrap ErrInvalidKey.
func parseKey(key string) (parsedKey, error) {
	parts := strings.Split(strings.TrimPrefix(key, KeyPrefix), "/")
	if len(parts) != 3 || (parts[1] != logName && !jobs.ValidID(parts[1])) {
		return parsedKey{}, fmt.Errorf("%w: %q", ErrInvalidKey, key)
	}
	shardIndex, shardErr := strconv.Atoi(parts[0])
	number, numberErr := strconv.Atoi(parts[2])
	if shardErr != nil || numberErr != nil || shardIndex < 0 || number < 0 {
		return parsedKey{}, fmt.Errorf("%w: %q", ErrInvalidKey, key)
	}
	if parts[1] == logName {
		return parsedKey{shardIndex: shardIndex, number: number, isPage: true}, nil
	}
	return parsedKey{shardIndex: shardIndex, jobID: parts[1], number: number}, nil
}

// ShardOfKey returns the index of the shard that the record or log page with a key belongs
// to, -1 if the key is of neither.
func ShardOfKey(key string) int {
	parsed, err := parseKey(key)
	if err != nil {
		return -1
	}
	return parsed.shardIndex
}

// ShardOf returns the index of the shard, out of shardCount, that a worker belongs to. It
// depends on the worker's name alone, so that all nodes, of all versions, agree on it.
func ShardOf(workerID string, shardCount int) int {
	// Worker names end in consecutive numbers, which spread neighbouring workers evenly
	// over the shards. A hash covers other forms of name.
	if i := strings.LastIndexByte(workerID, '-'); i >= 0 {
		if number, err := strconv.ParseUint(workerID[i+1:], 10, 63); err == nil {
			return int(number % uint64(shardCount))
		}
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(workerID))
	return int(hash.Sum32() % uint32(shardCount))
}
