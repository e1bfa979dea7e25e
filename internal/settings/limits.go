package settings

import (
	"time"

	"lemonmoor/internal/tuning"
)

const bytesPerKilobyte = 1024

// MaxValueBytes returns the maximum size, in bytes, of a value in the state service: a share
// (tuning.ValueLimitShare) of the lower of the service's current and future limits.
func (s *Settings) MaxValueBytes() int {
	kilobytes := s.Deployment.State.ValueKB
	if next := s.Deployment.State.Next; next != nil && next.ValueKB != nil {
		kilobytes = min(kilobytes, *next.ValueKB)
	}
	return int(kilobytes * bytesPerKilobyte * tuning.ValueLimitShare)
}

// MaxOperations returns the maximum number of operations in a commit: the lower of the state
// service's current and future limits.
func (s *Settings) MaxOperations() int {
	operations := s.Deployment.State.TxnOps
	if next := s.Deployment.State.Next; next != nil && next.TxnOps != nil {
		operations = min(operations, *next.TxnOps)
	}
	return operations
}

// FutureWriteShare returns the future limit of the state service for changes per second as a
// share of the current one: at most 1, and 1 if the limit will not change.
func (s *Settings) FutureWriteShare() float64 {
	if next := s.Deployment.State.Next; next != nil && next.WriteRPS != nil {
		return min(1, *next.WriteRPS/s.Deployment.State.WriteRPS)
	}
	return 1
}

// SetShardCount sets the number of shards to the number found in the state service. 0 means that
// none is stored.
func (s *Settings) SetShardCount(count int) { s.storedShardCount = count }

// ShardCount returns the number of shards that the machines are divided into: the stored number
// if there is one, otherwise one for each tuning.CPUsPerShard guaranteed processors, at least
// one and at most one for each controller. All controllers compute the same number, because
// the settings that it depends on are the same for all.
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

// FreshnessCheckInterval returns the minimum time between two freshness checks of one node: at
// least tuning.FreshnessCheckInterval, and long enough to limit the checks of all nodes
// together to the share tuning.FreshnessCheckShare of the state service's requests per second.
func (s *Settings) FreshnessCheckInterval() time.Duration {
	return max(tuning.FreshnessCheckInterval, seconds(float64(len(s.Seeds)+1)/(tuning.FreshnessCheckShare*s.Deployment.State.RPS)))
}

// WatchPause returns how long a node that leads or owns a shard waits after changes before it
// opens a watch again. It limits the watches of all nodes together to the share
// tuning.WatchRequestShare of the state service's requests per second, given that the leader
// and every shard owner each keep two copies up to date by watches.
func (s *Settings) WatchPause() time.Duration {
	watchers := 2 * min(s.ShardCount()+1, len(s.Seeds)+1)
	return seconds(float64(watchers) / (tuning.WatchRequestShare * s.Deployment.State.RPS))
}
