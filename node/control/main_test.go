package control

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every CI run gives the same result. Flags override it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
