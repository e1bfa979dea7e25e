package statestore

import (
	"testing"

	"lemonmoor/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
