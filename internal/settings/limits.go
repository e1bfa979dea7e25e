package settings

import (
	"time"

	"lemonmoor/internal/tuning"
)

// MaxValueBytes is the most that a value in the state service may hold, now and
// after its limits have changed.
func (s *Settings) MaxValueBytes() int {
	kilobytes := s.Deployment.State.ValueKB
	if next := s.Deployment.State.Next; next != nil && next.ValueKB != nil {
		kilobytes = min(kilobytes, *next.ValueKB)
	}
	return int(kilobytes * 1024 * tuning.ValueLimitShare)
}

// MaxOperations is the most changes in a commit, now and after the limits have changed.
func (s *Settings) MaxOperations() int {
	operations := s.Deployment.State.TxnOps
	if next := s.Deployment.State.Next; next != nil && next.TxnOps != nil {
		operations = min(operations, *next.TxnOps)
	}
	return operations
}

// FutureWriteShare is the part of the changes a second that may be left after the
// limits have changed, 1 if they will not.
func (s *Settings) FutureWriteShare() float64 {
	if next := s.Deployment.State.Next; next != nil && next.WriteRPS != nil {
		return min(1, *next.WriteRPS/s.Deployment.State.WriteRPS)
	}
	return 1
}

// SetShardCount sets the number of blocks to the one that was found stored.
func (s *Settings) SetShardCount(count int) { s.storedShardCount = count }

// ShardCount is the number of blocks that the machines are divided into: one for
// so many guaranteed processors, at most one for each controller. It follows
// from what all controllers are given alike, unless another one is stored.
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

// FreshnessCheckInterval is the least time between two freshness checks of one node: all
// nodes' together take a part of the state service's requests.
func (s *Settings) FreshnessCheckInterval() time.Duration {
	return max(tuning.FreshnessCheckInterval, seconds(float64(len(s.Seeds)+1)/(tuning.FreshnessCheckShare*s.Deployment.State.RPS)))
}

// WatchPause is how long a node that leads or owns a block rests after changes
// before it watches on, for the same reason; the leader and every owner keep
// two copies current.
func (s *Settings) WatchPause() time.Duration {
	watchers := 2 * min(s.ShardCount()+1, len(s.Seeds)+1)
	return seconds(float64(watchers) / (tuning.WatchRequestShare * s.Deployment.State.RPS))
}
