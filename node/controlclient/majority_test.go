package controlclient

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/transport"
)

func noMajority() error {
	return faultrpc.To(fault.New(fault.Unavailable, "ask another control VM", "this control VM has no contact with a majority"))
}

// outage is how long control VMs of these tests have no contact with a majority.
const outage = time.Minute

// TestFollower_OutageOfSomeControlVMsHoldsNobody guards against followers that stay, in or after an outage, at control VMs without contact
// with a majority, and against followers that ask these VMs all the time.
func TestFollower_OutageOfSomeControlVMsHoldsNobody(t *testing.T) {
	for _, cut := range []int{1, 2, 3} {
		t.Run(fmt.Sprintf("%d of 3", cut), func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context) {
				const followers = 30
				var isOver atomic.Bool
				var fakes []*fakeControl
				for vm := range 3 {
					before, after := serving(10, 1), serving(20, 2)
					fakes = append(fakes, &fakeControl{sync: func(ctx context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
						switch {
						case isOver.Load():
							return after(ctx, request)
						case vm < cut:
							return nil, noMajority()
						}
						return before(ctx, request)
					}})
				}
				var all []*Follower
				for range followers {
					h := newHarness(t, fakes...)
					h.follower.options.MaxBackoff = ShortMaxBackoff
					h.follower.Start(ctx)
					all = append(all, h.follower)
				}
				reached := func(index uint64) int {
					count := 0
					for _, f := range all {
						if view := f.View(); view != nil && view.Index == index {
							count++
						}
					}
					return count
				}
				time.Sleep(3 * ShortMaxBackoff)
				if got := reached(10); cut < 3 && got != followers {
					t.Fatalf("%d of %d followers have found a VM with a majority", got, followers)
				}
				time.Sleep(outage)
				asked := 0
				for vm, fake := range fakes[:cut] {
					asked += fake.count()
					if cut == 3 && (fake.count() < fakes[0].count()*9/10 || fake.count() > fakes[0].count()*11/10) {
						t.Errorf("VM %d was asked %d times, the first %d times", vm, fake.count(), fakes[0].count())
					}
				}
				// Each delay is minBackoff/2 plus half of the longest on average. With a VM left, a follower asks each other VM once.
				most := int(followers * outage / (minBackoff/2 + ShortMaxBackoff/2) * 11 / 10)
				if cut < 3 {
					most = followers * cut
				}
				if asked > most {
					t.Errorf("VMs without a majority were asked %d times, want at most %d", asked, most)
				}
				isOver.Store(true)
				time.Sleep(grantedHold + 3*ShortMaxBackoff)
				if got := reached(20); got != followers {
					t.Errorf("%d of %d followers are up to date after the outage", got, followers)
				}
			})
		})
	}
}

// keepingJobs is a control VM that renews leases while it has contact with a majority.
type keepingJobs struct {
	rpc.Jobs
	isCut  atomic.Bool
	leader *atomic.Pointer[string]
}

func (j *keepingJobs) Keep(context.Context, *rpc.KeepRequest) (*rpc.KeepResponse, error) {
	if j.isCut.Load() {
		return nil, noMajority()
	}
	return &rpc.KeepResponse{Index: 1, LeaderAddress: *j.leader.Load()}, nil
}

// TestJobs_LeaderWithoutMajorityIsLeft guards against calls that keep going to a former leader.
func TestJobs_LeaderWithoutMajorityIsLeft(t *testing.T) {
	var leader atomic.Pointer[string]
	var vms []*keepingJobs
	var addresses []string
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		vm := &keepingJobs{leader: &leader}
		server := &http.Server{Handler: rpc.NewJobsServer(vm), ReadHeaderTimeout: time.Second, Protocols: transport.ServerProtocols()}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		vms, addresses = append(vms, vm), append(addresses, listener.Addr().String())
	}
	leader.Store(&addresses[0])
	jobs := NewFollower(Options{Addresses: addresses, Self: func() *rpc.Node { return &rpc.Node{Id: t.Name()} }}).Jobs()
	// attempts returns the number of attempts until a call succeeds, 0 if none does. The answer names the leader.
	attempts := func() int {
		for n := 1; n <= 10; n++ {
			var response *rpc.KeepResponse
			err := jobs.Once(t.Context(), func(ctx context.Context, jobs rpc.Jobs) (err error) {
				response, err = jobs.Keep(ctx, &rpc.KeepRequest{})
				return err
			})
			if err == nil {
				jobs.SetLeader(response.GetLeaderAddress())
				return n
			}
		}
		return 0
	}
	jobs.SetLeader(addresses[0])
	if got := attempts(); got != 1 {
		t.Fatalf("%d attempts with a leader", got)
	}
	for _, cut := range []int{0, 1} {
		vms[cut].isCut.Store(true)
		leader.Store(&addresses[cut+1])
		// The former leader, and each other VM without a majority, is asked once.
		if got := attempts(); got == 0 || got > cut+2 {
			t.Errorf("with %d VMs without a majority: %d attempts, want at most %d", cut+1, got, cut+2)
		}
		if got := attempts(); got != 1 {
			t.Errorf("with the new leader: %d attempts", got)
		}
	}
	vms[2].isCut.Store(true)
	if got := attempts(); got != 0 {
		t.Errorf("%d attempts without any VM with a majority, want none to succeed", got)
	}
	for _, vm := range vms {
		vm.isCut.Store(false)
	}
	if got := attempts(); got != 1 {
		t.Errorf("%d attempts after the outage, want 1", got)
	}
}
