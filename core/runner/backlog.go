package runner

import (
	"time"

	"flamingohall.example/core/work"
)

// backlogRetention is how long an entry's last backlog counts. Entries report it with offers and answers to probes, so an
// entry that is silent for longer has no tasks here or is unreachable.
const backlogRetention = 500 * time.Millisecond

// backlog returns the sum of the backlogs that entries have reported lately, and whether there is any. Without one, no queue shares
// the pool's capacity, and loads contain neither backlogs nor speeds.
func (r *Runner) backlog(now time.Duration) (sum work.Backlog, isReported bool) {
	for _, s := range r.sessions {
		if s.backlogAt != 0 && now-s.backlogAt <= backlogRetention {
			sum, isReported = sum.Plus(s.backlog), true
		}
	}
	return sum, isReported
}
