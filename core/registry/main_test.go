package registry

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and size of the property tests, so that CI gives the same result on each run. Flags on the
// command line override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
