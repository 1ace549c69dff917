package bench

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests; a seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
