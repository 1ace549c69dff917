package job

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the default seed and number of the histories; -rapid.seed=N and -rapid.checks=N override them.
func TestMain(m *testing.M) {
	flag.Parse()
	setUnlessGiven("rapid.seed", "1")
	setUnlessGiven("rapid.checks", "2000")
	os.Exit(m.Run())
}

func setUnlessGiven(name, value string) {
	if known := flag.Lookup(name); known.Value.String() == known.DefValue {
		_ = known.Value.Set(value)
	}
}
