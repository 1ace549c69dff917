package claim

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the property tests, so that CI runs are reproducible; flags override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
