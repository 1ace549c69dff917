package controlclient

import (
	"context"
	"testing"
	"time"
)

// TestFollower_AnnouncementsDoNotKeepItAtASilentControlVM guards against a follower that never leaves a silent control VM, since each
// announcement began the wait for an answer anew.
func TestFollower_AnnouncementsDoNotKeepItAtASilentControlVM(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		first, second := &fakeControl{sync: silent}, &fakeControl{sync: serving(10, 1)}
		h := newHarness(t, first, second)
		h.follower.Start(ctx)
		for range 2 * firstAnswerTimeout / time.Second {
			time.Sleep(time.Second)
			h.follower.Announce()
		}
		time.Sleep(time.Millisecond)
		if h.follower.View() == nil {
			t.Errorf("no view after %v: %d polls to the silent VM, %d to the other", 2*firstAnswerTimeout, first.count(), second.count())
		}
	})
}
