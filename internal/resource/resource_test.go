package resource

import (
	"math"
	"testing"
)

func TestSums(t *testing.T) {
	sum := Vector{1, 2, 3}.Plus(Vector{4, 5, 6}).Minus(Vector{0.5, 1, 9}).Times(2)
	if want := (Vector{9, 12, 0}); sum != want {
		t.Errorf("sum: got %v, want %v", sum, want)
	}
}

func TestFits(t *testing.T) {
	need := Vector{CPUs: 2, GPUs: 1, MemoryGB: 4}
	for name, test := range map[string]struct {
		capacity Vector
		fits     bool
	}{
		"exactly":            {Vector{2, 1, 4}, true},
		"more than enough":   {Vector{8, 2, 64}, true},
		"inexact decimals":   {Vector{2 - 1e-10, 1, 4 - 1e-10}, true},
		"too few processors": {Vector{1.9, 1, 4}, false},
		"too few GPUs":       {Vector{2, 0, 4}, false},
		"too little memory":  {Vector{2, 1, 3.9}, false},
		"negative capacity":  {Vector{-1, 1, 4}, false},
		"no capacity":        {Vector{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := need.Fits(test.capacity); got != test.fits {
				t.Errorf("%v fits into %v: got %v, want %v", need, test.capacity, got, test.fits)
			}
		})
	}
}

func TestCountIn(t *testing.T) {
	for name, test := range map[string]struct {
		need, capacity Vector
		count          int
	}{
		"scarcest resource limits the count": {Vector{2, 0, 4}, Vector{16, 0, 12}, 3},
		"inexact decimals":                   {Vector{0.1, 0, 0.1}, Vector{0.1 + 0.2, 0, 0.7 - 0.4}, 3},
		"unneeded resource is ignored":       {Vector{1, 0, 1}, Vector{4, -1, 4}, 4},
		"negative capacity":                  {Vector{1, 0, 1}, Vector{-3, 0, 4}, 0},
		"GPUs":                               {Vector{1, 1, 1}, Vector{4, 2, 4}, 2},
		"nothing needed":                     {Vector{}, Vector{1, 1, 1}, math.MaxInt32},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.need.CountIn(test.capacity); got != test.count {
				t.Errorf("count of %v in %v: got %d, want %d", test.need, test.capacity, got, test.count)
			}
		})
	}
}
