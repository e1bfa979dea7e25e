package tuning

import "time"

// Checks of invariants at run time.
const (
	// QuotaCheckInterval is the time between two recounts of the teams' open tasks.
	QuotaCheckInterval = 5 * time.Second
	// QuotaCheckTolerance is by how many processors or GPUs a recount may exceed a quota. Sums of
	// thousands of decimal fractions differ by their order.
	QuotaCheckTolerance = 1e-6
	// LogCheckInterval is the time between two comparisons of a shard's log with its copy.
	LogCheckInterval = 5 * time.Second
)
