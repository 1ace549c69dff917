package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// TestGrant_UnreachableSidecarsCostNoPassesOverTheTasks guards against jobs that are served late while sidecars that are gone stay
// registered: each Advance looked through all tasks once for each of them.
func TestGrant_UnreachableSidecarsCostNoPassesOverTheTasks(t *testing.T) {
	now := time.Minute
	d := New(DefaultLimits, "a", 1)
	const sidecars = 3
	for n := range sidecars {
		d.Opened(now, fmt.Sprintf("s%d", n), "a")
	}
	looks := 0
	const period, step = 2 * time.Second, 2 * time.Millisecond
	for end := now + DefaultLimits.Grant + period; now < end; now += step {
		before := d.workers["s0"].overdueSince
		d.endGrants(now)
		isLook := before != 0 && now >= before+overdueTime
		if !isLook {
			continue
		}
		looks++
		for _, w := range d.sortedWorkers {
			if w.overdueSince != now {
				t.Fatalf("at %v the tasks were looked through for %s, and are again at the next Advance", now, w.id)
			}
		}
	}
	if most := int(period / overdueTime); looks < 1 || looks > most {
		t.Errorf("%d looks in %v, want 1 to %d", looks, period, most)
	}
}
