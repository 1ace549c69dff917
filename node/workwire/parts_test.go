package workwire

import (
	"strings"
	"testing"

	"flamingohall.example/core/work"
)

// TestParts_OffersOfLargeJobsFitIntoFrames guards against a session that ends at a frame that is too large: a worker may get all tasks of
// several large jobs at the same moment.
func TestParts_OffersOfLargeJobsFitIntoFrames(t *testing.T) {
	const maxBytes, jobs, tasks = 8 << 20, 3, 1400
	frame := &work.ToSidecar{Echo: 3, Stops: []work.RunID{{Task: "k.0.0.0", Run: 1}}}
	for sequence := range uint64(jobs * tasks) {
		frame.Offers = append(frame.Offers, work.Offer{
			RunID: work.RunID{Task: "j.0.0.0", Run: 1}, Sequence: sequence + 1, Spec: strings.Repeat("s", 4000),
		})
	}
	parts := EncodePartsToSidecar(frame, maxBytes)
	if len(parts) < 2 {
		t.Fatalf("%d parts", len(parts))
	}
	var sequence uint64
	for i, part := range parts {
		decoded, err := DecodeToSidecar(part)
		if err != nil || len(part) > maxBytes {
			t.Fatalf("part %d of %d bytes: %v", i, len(part), err)
		}
		if isFirst := i == 0; isFirst != (decoded.Echo == 3) || isFirst != (len(decoded.Stops) == 1) {
			t.Errorf("part %d has echo %d and %d stops", i, decoded.Echo, len(decoded.Stops))
		}
		for _, offer := range decoded.Offers {
			if sequence++; offer.Sequence != sequence {
				t.Fatalf("offer %d in place %d", offer.Sequence, sequence)
			}
		}
	}
	if sequence != jobs*tasks {
		t.Errorf("%d offers, want %d", sequence, jobs*tasks)
	}
}
