package cli

import (
	"bytes"
	"testing"
)

func TestPrintTiming_StoredAnswerHasNoSlowdown(t *testing.T) {
	for response, want := range map[int64]string{
		150_000: "response 150.0 ms, longest task 100.0 ms, slowdown 1.500\n",
		100_000: "response 100.0 ms, longest task 100.0 ms, slowdown 1.000\n",
		1_000:   "response 1.0 ms, longest task 100.0 ms, the job had run before\n",
	} {
		var out bytes.Buffer
		printTiming(&out, response, 100_000)
		if out.String() != want {
			t.Errorf("%d µs: %q, want %q", response, out.String(), want)
		}
	}
}
