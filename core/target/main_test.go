package target

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the default seed and number of checks of the property tests; flags on the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
