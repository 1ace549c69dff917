package control

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"flamingohall.example/core/claim"
	"flamingohall.example/core/state"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/settings"
)

// countingGroup applies commands to a state immediately and counts them.
type countingGroup struct {
	mutex    sync.Mutex
	state    *state.State
	commands int
}

func (g *countingGroup) Propose(_ context.Context, command []byte) (uint64, []byte, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.commands++
	result, err := g.state.Apply(uint64(g.commands), command)
	return uint64(g.commands), result, err
}

func (g *countingGroup) Register(*http.ServeMux)                 {}
func (g *countingGroup) Start(context.Context) error             { return nil }
func (g *countingGroup) Ready() error                            { return nil }
func (g *countingGroup) Stop(context.Context) error              { return nil }
func (g *countingGroup) Confirm(context.Context) (uint64, error) { return 0, nil }
func (g *countingGroup) Status() Status                          { return Status{} }
func (g *countingGroup) ChangeMember(context.Context, settings.Member, bool) error {
	return nil
}

// Deferrable steps join the next command, or share one after maxDeferral.
func TestProposer_DeferrableStepsShareCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &countingGroup{state: state.New()}
		p := newProposer(group, metrics.NewRole("control", t.Name()))
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { p.run(ctx) })
		finish := state.Step{Finish: &claim.Finish{Job: "j", Epoch: 1, Body: []byte("a")}}
		for range 5 {
			done.Go(func() {
				if _, _, err := p.proposeDeferrable(ctx, finish); err != nil {
					t.Error(err)
				}
			})
		}
		synctest.Wait()
		if group.commands != 0 {
			t.Errorf("%d commands before maxDeferral passed", group.commands)
		}
		if _, _, err := p.propose(ctx, finish); err != nil {
			t.Error(err)
		}
		synctest.Wait()
		if group.commands != 1 {
			t.Errorf("%d commands, want all steps in one", group.commands)
		}
		done.Go(func() { _, _, _ = p.proposeDeferrable(ctx, finish) })
		time.Sleep(maxDeferral)
		synctest.Wait()
		if group.commands != 2 {
			t.Errorf("%d commands after maxDeferral, want 2", group.commands)
		}
		cancel()
		done.Wait()
	})
}

// SetSeeds does nothing: this group has no members.
func (g *countingGroup) SetSeeds([]string) {}
