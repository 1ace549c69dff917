package bench

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests; the flag on the command line still goes first.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
