package controlclient

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/rpc"
)

// fakeControl is a control VM whose answers are set by the test.
type fakeControl struct {
	rpc.Control
	mutex    sync.Mutex
	sync     func(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error)
	claim    func(ctx context.Context) (*rpc.ClaimResponse, error)
	requests []*rpc.SyncRequest
}

func (f *fakeControl) Sync(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	f.mutex.Lock()
	f.requests = append(f.requests, request)
	answer := f.sync
	f.mutex.Unlock()
	return answer(ctx, request)
}

func (f *fakeControl) Claim(ctx context.Context, _ *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	return f.claim(ctx)
}

func (f *fakeControl) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.requests)
}

func (f *fakeControl) last() *rpc.SyncRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.requests[len(f.requests)-1]
}

// network delivers requests to the fakes without connections, so that it works in a synctest bubble.
type network map[string]http.Handler

func (n network) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		n[request.URL.Host].ServeHTTP(recorder, request)
	}()
	select {
	case <-done:
		return recorder.Result(), nil
	case <-request.Context().Done():
		<-done
		return nil, request.Context().Err()
	}
}

// harness is a follower of several fakes that prefers the first.
type harness struct {
	follower *Follower
	fakes    []*fakeControl
	mutex    sync.Mutex
	self     *rpc.Node
}

func newHarness(t *testing.T, fakes ...*fakeControl) *harness {
	t.Helper()
	h := &harness{fakes: fakes, self: &rpc.Node{Id: "entry-1", Incarnation: "a", Role: rpc.Role_ROLE_ENTRY}}
	links := network{}
	var addresses []string
	for number, fake := range fakes {
		address := fmt.Sprintf("control-%d:1", number)
		links[address] = rpc.NewControlServer(fake)
		addresses = append(addresses, address)
	}
	h.follower = NewFollower(Options{
		Addresses: addresses, Self: h.node, WantNodes: true, Logger: logr.Discard(),
		Metrics: metrics.NewRole("follower", t.Name()), HTTP: &http.Client{Transport: links},
	})
	h.follower.pool.preferred = 0
	return h
}

func (h *harness) node() *rpc.Node {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.self
}

func (h *harness) setSelf(node *rpc.Node) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.self = node
}

// grantedHold is how long the fakes hold a poll.
const grantedHold = 2 * time.Second

// silent never answers.
func silent(ctx context.Context, _ *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// serving answers at once a request that knows less than index, and holds the others.
func serving(index, revision uint64) func(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return func(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
		answer := &rpc.SyncResponse{Index: index, CatalogueRevision: revision, Full: request.GetKnownIndex() == 0}
		if request.GetNode() != nil {
			answer.Number = 7
			answer.GrantedHoldMs = grantedHold.Milliseconds()
		}
		if request.GetKnownIndex() < index {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(grantedHold):
			answer.HeldMs = grantedHold.Milliseconds()
			return answer, nil
		}
	}
}

// inBubble runs the test in virtual time and ends the follower's loop with it.
func inBubble(t *testing.T, test func(t *testing.T, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(t, ctx)
		cancel()
		synctest.Wait()
	})
}

func TestFollower_LeavesASilentControlVM(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		h := newHarness(t, &fakeControl{sync: silent}, &fakeControl{sync: serving(10, 1)})
		h.follower.Start(ctx)
		time.Sleep(firstAnswerTimeout - time.Millisecond)
		if h.follower.Ready() == nil {
			t.Fatal("ready without an answer")
		}
		time.Sleep(time.Second)
		if err := h.follower.Ready(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if h.fakes[0].count() != 1 {
			t.Fatalf("%d polls went to the silent VM", h.fakes[0].count())
		}
	})
}

// TestFollower_SilenceIsFoundWithinALease checks that control hears from a follower again before its lease expires if
// the connection goes silent after successful answers: within three times the hold, minus one second for the digest.
func TestFollower_SilenceIsFoundWithinALease(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		first, second := &fakeControl{sync: serving(10, 1)}, &fakeControl{sync: serving(10, 1)}
		h := newHarness(t, first, second)
		h.follower.Start(ctx)
		time.Sleep(3*grantedHold + time.Millisecond)
		if second.count() != 0 || first.count() != 5 {
			t.Fatalf("%d and %d polls", first.count(), second.count())
		}
		first.mutex.Lock()
		first.sync = silent
		first.mutex.Unlock()
		time.Sleep(grantedHold)
		lastHeard := time.Now()
		for second.count() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		if silence := time.Since(lastHeard); silence > 3*grantedHold-time.Second {
			t.Fatalf("heard again after %v", silence)
		}
	})
}

func TestFollower_IndexNeverDecreases(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		behind := func(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
			return &rpc.SyncResponse{Index: 5, CatalogueRevision: 1, Full: true}, nil
		}
		h := newHarness(t, &fakeControl{sync: serving(10, 2)}, &fakeControl{sync: behind}, &fakeControl{sync: serving(12, 3)})
		h.follower.Start(ctx)
		synctest.Wait()
		if view := h.follower.View(); view.Index != 10 || view.Revision != 2 {
			t.Fatalf("first view %+v", view)
		}
		h.follower.pool.rotate(h.follower.pool.current())
		time.Sleep(2 * DefaultHold)
		if view := h.follower.View(); view.Index != 12 || view.Revision != 3 {
			t.Fatalf("later view %+v", view)
		}
		if h.fakes[1].count() != 1 {
			t.Fatalf("%d polls went to the VM that is behind", h.fakes[1].count())
		}
	})
}

func TestFollower_LeavesAVMWithoutQuorumAndReportsStaleness(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		stale := func(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
			return &rpc.SyncResponse{Index: 10, Full: true, StalenessMs: time.Minute.Milliseconds()}, nil
		}
		h := newHarness(t, &fakeControl{sync: stale}, &fakeControl{sync: silent})
		h.follower.Start(ctx)
		synctest.Wait()
		if age := h.follower.View().Staleness(time.Now()); age < time.Minute {
			t.Fatalf("the view has a staleness of %v", age)
		}
		time.Sleep(time.Second)
		if h.fakes[1].count() != 1 {
			t.Fatal("the follower stays with a VM without contact with its quorum")
		}
	})
}

func TestFollower_AnnounceDoesNotWaitForThePoll(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		h := newHarness(t, &fakeControl{sync: serving(10, 1)})
		h.follower.Start(ctx)
		synctest.Wait()
		if h.fakes[0].last().GetNode() != nil || h.fakes[0].last().GetNumber() != 7 {
			t.Fatalf("an idle poll carries %v", h.fakes[0].last())
		}
		before := time.Now()
		h.setSelf(&rpc.Node{Id: "entry-1", Incarnation: "a", Role: rpc.Role_ROLE_ENTRY, Leaving: true})
		h.follower.Announce()
		synctest.Wait()
		if !h.fakes[0].last().GetNode().GetLeaving() || !time.Now().Equal(before) {
			t.Fatalf("after %v the last poll is %v", time.Since(before), h.fakes[0].last())
		}
	})
}

func TestFollower_SendsItsRecordWhereItIsUnknown(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		needing := func(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
			if request.GetNode() == nil {
				return &rpc.SyncResponse{NeedRecord: true}, nil
			}
			return serving(20, 1)(ctx, request)
		}
		h := newHarness(t, &fakeControl{sync: serving(10, 1)}, &fakeControl{sync: needing})
		h.follower.Start(ctx)
		synctest.Wait()
		h.follower.pool.rotate(h.follower.pool.current())
		time.Sleep(DefaultHold + time.Second)
		if view := h.follower.View(); view.Index != 20 {
			t.Fatalf("view %+v", view)
		}
	})
}

func TestFollower_BacksOffWhenAllAreUnavailable(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		unavailable := func(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
			return nil, faultrpc.To(fault.New(fault.Unavailable, "wait", "no leader"))
		}
		h := newHarness(t, &fakeControl{sync: unavailable}, &fakeControl{sync: unavailable})
		h.follower.Start(ctx)
		time.Sleep(time.Minute)
		// Full jitter up to 2 s causes about one message per second; without backoff there would be thousands.
		if sent := h.fakes[0].count() + h.fakes[1].count(); sent < 10 || sent > 200 {
			t.Fatalf("%d messages in a minute", sent)
		}
	})
}

func TestFollower_SpreadsOverTheControlVMsOverTime(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		// All followers start at the first VM, as after an outage of the other one.
		first, second := &fakeControl{sync: serving(10, 1)}, &fakeControl{sync: serving(10, 1)}
		const followers = 40
		for range followers {
			newHarness(t, first, second).follower.Start(ctx)
		}
		time.Sleep(time.Hour)
		before, beforeSecond := first.count(), second.count()
		time.Sleep(time.Hour)
		share := float64(second.count()-beforeSecond) / float64(first.count()-before+second.count()-beforeSecond)
		if share < 0.3 || share > 0.7 {
			t.Fatalf("the second VM serves %.2f of the polls", share)
		}
	})
}

func TestFollower_GoodbyeIsTheLastMessage(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		first := &fakeControl{sync: serving(10, 1)}
		h := newHarness(t, first)
		h.follower.Start(ctx)
		synctest.Wait()
		first.mutex.Lock()
		first.sync = func(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) { return &rpc.SyncResponse{}, nil }
		first.mutex.Unlock()
		if err := h.follower.Goodbye(ctx); err != nil {
			t.Fatal(err)
		}
		sent := first.count()
		time.Sleep(time.Minute)
		if !first.last().GetGoodbye() || first.last().GetNode() == nil || first.count() != sent {
			t.Fatalf("the last message is %v", first.last())
		}
	})
}

func TestCaller_ClaimFailsOverAndReportsWhetherItMayHaveRun(t *testing.T) {
	refused := func(context.Context) (*rpc.ClaimResponse, error) {
		return nil, faultrpc.To(fault.New(fault.Unavailable, "wait", "no leader"))
	}
	hangs := func(ctx context.Context) (*rpc.ClaimResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	grants := func(context.Context) (*rpc.ClaimResponse, error) {
		return &rpc.ClaimResponse{Status: rpc.ClaimStatus_CLAIM_STATUS_GRANTED}, nil
	}
	overloaded := func(context.Context) (*rpc.ClaimResponse, error) {
		return nil, faultrpc.To(fault.New(fault.Overloaded, "wait", "full").WithRetryAfter(time.Second))
	}
	for _, c := range []struct {
		name          string
		first, second func(context.Context) (*rpc.ClaimResponse, error)
		kind          fault.Kind
	}{
		{"refused then granted", refused, grants, ""},
		{"silent then granted", hangs, grants, ""},
		{"never committed", refused, refused, fault.Unavailable},
		{"maybe committed", hangs, refused, fault.Unknown},
		{"full", overloaded, grants, fault.Overloaded},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context) {
				h := newHarness(t, &fakeControl{claim: c.first}, &fakeControl{claim: c.second})
				ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
				defer cancel()
				answer, err := h.follower.Control().Claim(ctx, &rpc.ClaimRequest{})
				if c.kind == "" && (err != nil || answer.GetStatus() != rpc.ClaimStatus_CLAIM_STATUS_GRANTED) {
					t.Fatalf("%v, %v", answer, err)
				}
				if c.kind != "" && (err == nil || fault.Of(err).Kind != c.kind) {
					t.Fatalf("want %v, got %v, %v", c.kind, answer, err)
				}
			})
		})
	}
}
