// Package resource adds and compares amounts of the resources that tasks use on machines:
// processors, GPUs and memory. It has no state and does not depend on jobs, teams or prices.
package resource

import "math"

// Epsilon is the tolerance of comparisons, since sums of decimal fractions are not exact in
// floating point.
const Epsilon = 1e-9

// Vector is an amount of each resource.
type Vector struct {
	CPUs     float64 // processors
	GPUs     float64
	MemoryGB float64 // gigabytes
}

// Plus returns the sum of two amounts.
func (v Vector) Plus(o Vector) Vector {
	return Vector{v.CPUs + o.CPUs, v.GPUs + o.GPUs, v.MemoryGB + o.MemoryGB}
}

// Minus returns the difference of two amounts, which may be negative.
func (v Vector) Minus(o Vector) Vector {
	return Vector{v.CPUs - o.CPUs, v.GPUs - o.GPUs, v.MemoryGB - o.MemoryGB}
}

// Times returns the amount multiplied by n.
func (v Vector) Times(n float64) Vector {
	return Vector{n * v.CPUs, n * v.GPUs, n * v.MemoryGB}
}

// Fits reports whether v fits into capacity, within Epsilon for each resource.
func (v Vector) Fits(capacity Vector) bool {
	return v.CPUs <= capacity.CPUs+Epsilon && v.GPUs <= capacity.GPUs+Epsilon && v.MemoryGB <= capacity.MemoryGB+Epsilon
}

// CountIn returns how many times v fits into capacity, at least 0. A resource of which v
// needs nothing does not limit the count; if v needs nothing at all, the count is
// math.MaxInt32.
func (v Vector) CountIn(capacity Vector) int {
	count := math.MaxInt32
	for _, dimension := range [...]struct{ needed, available float64 }{
		{v.CPUs, capacity.CPUs}, {v.GPUs, capacity.GPUs}, {v.MemoryGB, capacity.MemoryGB},
	} {
		if dimension.needed > 0 {
			count = min(count, int(math.Floor((dimension.available+Epsilon)/dimension.needed)))
		}
	}
	return max(count, 0)
}
