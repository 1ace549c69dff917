package runner

import "time"

const (
	// VerifyTimeout is how long the worker may take to answer the call that verifies its incarnation. The call is short and can be
	// repeated, and until it is answered the worker gets no tasks.
	VerifyTimeout = 100 * time.Millisecond
	// verifyRetryDelay is the delay after a call that did not show which incarnation is at the worker's address.
	verifyRetryDelay = 50 * time.Millisecond
)

// candidate is an announced incarnation other than the known one.
type candidate struct {
	Announcement
	// retryAt is when the next call is due.
	retryAt time.Duration
}

// announcedOther handles an announcement of an incarnation other than the known one. Anyone may send one: a predecessor whose
// announcement was delayed, or another writer. It takes the worker's place only once the process at the worker's address has
// confirmed that it is this incarnation, since the runs of the known one are lost then.
func (r *Runner) announcedOther(now time.Duration, announced Announcement) {
	if c := r.candidate; c != nil && c.Incarnation == announced.Incarnation {
		if announced.Sequence >= c.Sequence {
			c.Announcement = announced
		}
		return
	}
	r.candidate = &candidate{Announcement: announced, retryAt: now}
}

// sendVerify calls the candidate with the fence that it will have.
func (r *Runner) sendVerify(now time.Duration) {
	c := r.candidate
	if c == nil || now < c.retryAt {
		return
	}
	c.retryAt = now + VerifyTimeout + verifyRetryDelay
	r.effects.Verify = &Order{Incarnation: c.Incarnation, Fence: r.worker.fence + 1}
}

// Verified handles the answer to a call to the named incarnation.
func (r *Runner) Verified(now time.Duration, incarnation string, answer Answer) {
	c := r.candidate
	if c == nil || c.Incarnation != incarnation {
		return
	}
	switch answer {
	case Accepted, Fenced:
		r.candidate = nil
		r.apply(now, c.Announcement)
	case WrongIncarnation:
		r.candidate = nil
		r.note(Note{Kind: AnnouncementIgnored, Reason: incarnation})
	case NoAnswer, ConnectionRefused, Superseded, LeaseExpired, NoCapacity, Unreadable, Unhealthy:
		c.retryAt = now + verifyRetryDelay
	}
}
