package statestore

import (
	"encoding/json"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"lemonmoor/internal/eventloop"
)

// leaseTable is this process's copy of the lease keys. It is updated by the mirror alone,
// also with this process's own commits, so that all changes are applied in order.
type leaseTable struct {
	runtime    eventloop.Runtime
	log        *slog.Logger
	shardCount int
	answers    *answerDeadlines // notified of every change of a shard's owner

	revisions       map[string]uint64
	holders         map[string]leaseHolder
	shardsChangedAt time.Duration // time of the latest change of a shard's lease
}

func newLeaseTable(runtime eventloop.Runtime, log *slog.Logger, shardCount int, answers *answerDeadlines) *leaseTable {
	return &leaseTable{
		runtime: runtime, log: log, shardCount: shardCount, answers: answers,
		revisions: map[string]uint64{}, holders: map[string]leaseHolder{},
	}
}

// reset removes all keys before a complete listing is applied. Since the changes of owners
// before the listing were not seen, the previous owner of a shard that is owned now is
// assumed to hold a lease that is still valid.
func (t *leaseTable) reset(entries []KeyValue) {
	clear(t.revisions)
	clear(t.holders)
	owned := map[string]bool{}
	for _, entry := range entries {
		owned[entry.Key] = true
	}
	for shard := range t.shardCount {
		t.answers.ownerChanged(shard, owned[ShardKey(shard)])
	}
}

// apply records one change of a key; a nil value means that the key was deleted.
func (t *leaseTable) apply(key string, value json.RawMessage, revision uint64) {
	shard, isShard := t.shardOfKey(key)
	if strings.HasPrefix(key, shardPrefix) {
		t.shardsChangedAt = t.runtime.Now()
	}
	if value == nil {
		delete(t.revisions, key)
		delete(t.holders, key)
		if isShard {
			t.answers.ownerChanged(shard, false)
		}
		if isShard || key == LeaderKey {
			t.log.Info("lease vacant", "key", key, "revision", revision)
		}
		return
	}
	var holder leaseHolder
	if err := json.Unmarshal(value, &holder); err != nil {
		t.log.Warn("failed to decode a lease value", "key", key, "err", err)
	}
	if earlier, known := t.holders[key]; isShard && known && !earlier.isProcess(holder) {
		t.answers.ownerChanged(shard, true)
	}
	t.revisions[key], t.holders[key] = revision, holder
	t.logHolder(key, isShard)
}

// logHolder logs the new holder of the leadership or of a shard.
func (t *leaseTable) logHolder(key string, isShard bool) {
	if !isShard && key != LeaderKey {
		return
	}
	holder := t.holders[key]
	t.log.Info("lease held", "key", key, "holder", holder.Node, "nonce", holder.Nonce, "token", t.revisions[key])
}

// shardOfKey returns the shard of a shard's lease key; ok is false for other keys and for
// shards outside this deployment.
func (t *leaseTable) shardOfKey(key string) (shard int, ok bool) {
	number, isShard := strings.CutPrefix(key, shardPrefix)
	if !isShard {
		return 0, false
	}
	shard, err := strconv.Atoi(number)
	return shard, err == nil && shard >= 0 && shard < t.shardCount
}

// condition returns the condition that a key is still at the revision of this copy.
func (t *leaseTable) condition(key string) Condition { return Condition{key, t.revisions[key]} }
