// Package testseed runs tests with a fixed seed for their generated inputs, so that CI tests
// the same inputs each time. To test other inputs, run
// `go test ./internal/NAME -rapid.seed N -rapid.checks 3000`.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed is used unless the command line sets another seed.
const defaultSeed = "20261202"

// Main runs the tests of a package and exits; it is called by the package's TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", defaultSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
