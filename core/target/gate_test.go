package target

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// largeMemory retains all outcomes of a history, smallMemory evicts most of them.
var (
	largeMemory = Options{
		Slots: 3, Queue: 3, OutcomeBytes: 1 << 20, OutcomeAge: time.Hour, Tombstones: 100, SettleTime: time.Second,
	}
	smallMemory = Options{
		Slots: 3, Queue: 3, OutcomeBytes: 400, OutcomeAge: 50 * time.Millisecond, Tombstones: 1, SettleTime: time.Second,
	}
)

func TestGate_HoldsUnderAnyRequests(t *testing.T) {
	for name, options := range map[string]Options{"large memory": largeMemory, "small memory": smallMemory} {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			if err := play(histories.Draw(t, "history"), options, disabledSafeguards{}); err != nil {
				t.Fatal(err)
			}
		}))
	}
}

// historiesTried is the number of histories of which at least one must break a rule when a safeguard is disabled.
const historiesTried = 3000

func TestGate_FailsWithoutSafeguards(t *testing.T) {
	cases := map[string]struct {
		options  Options
		disabled disabledSafeguards
	}{
		"gate":        {largeMemory, disabledSafeguards{gate: true}},
		"refusals":    {largeMemory, disabledSafeguards{refusals: true}},
		"incarnation": {largeMemory, disabledSafeguards{incarnation: true}},
		"tombstones":  {smallMemory, disabledSafeguards{tombstones: true}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range historiesTried {
				if err := play(histories.Example(seed), test.options, test.disabled); err != nil {
					t.Logf("history %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("no history of %d breaks a rule", historiesTried)
		})
	}
}
