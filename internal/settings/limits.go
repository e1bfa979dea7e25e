package settings

import (
	"time"

	"lemonmoor/internal/tuning"
)

const bytesPerKilobyte = 1024

// MaxValueBytes returns the most bytes that a value in the state service may hold, now and
// after its limits have changed.
func (s *Settings) MaxValueBytes() int {
	kilobytes := s.Deployment.State.ValueKB
	if next := s.Deployment.State.Next; next != nil && next.ValueKB != nil {
		kilobytes = min(kilobytes, *next.ValueKB)
	}
	return int(kilobytes * bytesPerKilobyte * tuning.ValueLimitShare)
}

// MaxOperations returns the most operations in a commit, now and after the limits have changed.
func (s *Settings) MaxOperations() int {
	operations := s.Deployment.State.TxnOps
	if next := s.Deployment.State.Next; next != nil && next.TxnOps != nil {
		operations = min(operations, *next.TxnOps)
	}
	return operations
}

// FutureWriteShare returns the part of the changes a second that may be left after the limits
// of the state service have changed, 1 if they will not.
func (s *Settings) FutureWriteShare() float64 {
	if next := s.Deployment.State.Next; next != nil && next.WriteRPS != nil {
		return min(1, *next.WriteRPS/s.Deployment.State.WriteRPS)
	}
	return 1
}

// SetShardCount sets the number of shards to the one that was found stored.
func (s *Settings) SetShardCount(count int) { s.storedShardCount = count }

// ShardCount returns the number of shards that the machines are divided into: one for each
// tuning.CPUsPerShard guaranteed processors, at most one for each controller. It follows from
// what all controllers are given alike, unless another number is stored.
func (s *Settings) ShardCount() int {
	if s.storedShardCount > 0 {
		return s.storedShardCount
	}
	guaranteedCPUs := 0.0
	for _, team := range s.Deployment.Teams {
		guaranteedCPUs += team.CPUs
	}
	return max(1, min(int(guaranteedCPUs/tuning.CPUsPerShard), len(s.Seeds)+1))
}

// FreshnessCheckInterval returns the least time between two freshness checks of one node: the
// checks of all nodes together take a part of the state service's requests.
func (s *Settings) FreshnessCheckInterval() time.Duration {
	return max(tuning.FreshnessCheckInterval, seconds(float64(len(s.Seeds)+1)/(tuning.FreshnessCheckShare*s.Deployment.State.RPS)))
}

// WatchPause returns how long a node that leads or owns a shard pauses after changes before it
// opens a watch again: the watches of all nodes together take a part of the state service's
// requests. The leader and every shard owner keep two copies current.
func (s *Settings) WatchPause() time.Duration {
	watchers := 2 * min(s.ShardCount()+1, len(s.Seeds)+1)
	return seconds(float64(watchers) / (tuning.WatchRequestShare * s.Deployment.State.RPS))
}
