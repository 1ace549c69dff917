package target

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// roomy remembers everything that a history can hold, tight forgets most of it.
var (
	roomy = Options{
		Slots: 3, Queue: 3, OutcomeBytes: 1 << 20, OutcomeAge: time.Hour, Tombstones: 100, SettleTime: time.Second,
	}
	tight = Options{
		Slots: 3, Queue: 3, OutcomeBytes: 400, OutcomeAge: 50 * time.Millisecond, Tombstones: 1, SettleTime: time.Second,
	}
)

func TestGate_HoldsUnderAnyRequests(t *testing.T) {
	for name, options := range map[string]Options{"roomy": roomy, "tight": tight} {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			if err := play(histories.Draw(t, "history"), options, safeguardsOff{}); err != nil {
				t.Fatal(err)
			}
		}))
	}
}

// examples is the number of histories among which one must break a rule when a safeguard is off.
const examples = 3000

func TestGate_FailsWithoutSafeguards(t *testing.T) {
	cases := map[string]struct {
		options Options
		off     safeguardsOff
	}{
		"gate":        {roomy, safeguardsOff{gate: true}},
		"refusals":    {roomy, safeguardsOff{refusals: true}},
		"incarnation": {roomy, safeguardsOff{incarnation: true}},
		"tombstones":  {tight, safeguardsOff{tombstones: true}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range examples {
				if err := play(histories.Example(seed), test.options, test.off); err != nil {
					t.Logf("history %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("no history of %d breaks a rule", examples)
		})
	}
}
