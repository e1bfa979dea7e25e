package tuning

// Records of dispatched tasks and the shards' logs.
const (
	// MaxRecordTasks is the most tasks in one record. A record names its tasks in runs; a
	// thousand that do not follow each other still take less than 6 KB.
	MaxRecordTasks = 1000
	// MaxRetriedRecordTasks is the most tasks in one record that have been dispatched
	// before.
	MaxRetriedRecordTasks = 200
	// NewTaskBytes is what a task that does not follow the one before it takes in a record.
	NewTaskBytes = 7
	// RetriedTaskBytes is what a task with a last attempt takes in a record.
	RetriedTaskBytes = 30
	// RecordOverheadBytes is what a record takes besides its tasks.
	RecordOverheadBytes = 200
	// MaxPageBytes is the most that a page of a shard's log holds. Larger values are
	// allowed in some deployments; they would save few operations and cost every node the
	// reading.
	MaxPageBytes = 7 * 1024
	// ValueLimitShare is the part of the state service's limit for a value that is used.
	ValueLimitShare = 0.9
	// MinValueLimitKB is the smallest limit for a value, in KB, that the program can work
	// with: a cancelled job and a lease take some 600 bytes.
	MinValueLimitKB = 0.75
	// MinValueBytes is MinValueLimitKB in bytes, after ValueLimitShare.
	MinValueBytes = 690
	// LogCompactionPages is the length of a shard's log, in pages, from which on old pages
	// are emptied. A takeover reads them in one listing.
	LogCompactionPages = 96
	// CPUsPerShard is how many guaranteed processors call for one more shard. Several
	// shards cost room that is scarce at a hundred machines. At several hundred they divide
	// heartbeats and sockets among the controllers, and an owner that is lost stops a part
	// of the machines only.
	CPUsPerShard = 3000
)
