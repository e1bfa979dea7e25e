package tuning

// Records of dispatched tasks and the shards' logs.
const (
	// MaxRecordTasks is the maximum number of tasks in a record. A record lists its tasks as
	// runs of consecutive indexes; a thousand tasks without any run still take less than
	// 6 KB.
	MaxRecordTasks = 1000
	// MaxRetriedRecordTasks is the maximum number of tasks in a record that have been
	// dispatched before.
	MaxRetriedRecordTasks = 200
	// NewTaskBytes is the size in a record of a task that does not follow the one before it.
	NewTaskBytes = 7
	// RetriedTaskBytes is the size in a record of a task with a last attempt.
	RetriedTaskBytes = 30
	// RecordOverheadBytes is the size of a record without its tasks.
	RecordOverheadBytes = 200
	// MaxPageBytes is the maximum size of a page of a shard's log. Some deployments allow
	// larger values, but these would save few operations, and every node would have to read
	// them.
	MaxPageBytes = 7 * 1024
	// ValueLimitShare is the fraction of the state service's limit for a value that is used.
	ValueLimitShare = 0.9
	// MinValueLimitKB is the smallest limit for a value, in KB, with which the program works:
	// a cancelled job and a lease take some 600 bytes.
	MinValueLimitKB = 0.75
	// MinValueBytes is MinValueLimitKB in bytes, times ValueLimitShare.
	MinValueBytes = 690
	// LogCompactionPages is the number of pages of a shard's log from which old pages are
	// emptied. A takeover reads that many in one listing.
	LogCompactionPages = 96
	// CPUsPerShard is the number of guaranteed processors per shard. At a hundred machines
	// room is scarce, and several shards waste some of it. At several hundred, they divide
	// heartbeats and sockets among the controllers, and the loss of an owner stops only a
	// part of the machines.
	CPUsPerShard = 3000
)
