package userapi

import (
	"testing"

	"lemonmoor/internal/testseed"
)

// TestMain runs the tests with the seed handling of package testseed.
func TestMain(m *testing.M) { testseed.Main(m) }
