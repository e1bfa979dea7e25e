// Package testseed runs tests with a fixed seed of their generated inputs, so that CI sees
// the same ones each time. `go test ./internal/NAME -rapid.seed N -rapid.checks 3000`
// searches elsewhere.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed is the one that is used unless the command line names another.
const defaultSeed = "20261202"

// Main runs a package's tests; its TestMain calls it.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", defaultSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
