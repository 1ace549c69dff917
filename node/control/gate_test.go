package control

import (
	"context"
	"testing"
	"time"

	"flamingohall.example/core/fault"
)

func TestGate_CallsWaitForTheFirstOpening(t *testing.T) {
	g := newGate(noMajorityError())
	go func() {
		time.Sleep(20 * time.Millisecond)
		g.open()
	}()
	began := time.Now()
	if _, err := g.await(t.Context()); err != nil {
		t.Fatalf("%v, want the call to wait for the opening", err)
	}
	if took := time.Since(began); took >= openingWait {
		t.Errorf("the call waited %v beyond an opening after 20 ms", took)
	}
}

func TestGate_CallsDoNotWaitForeverNorAfterALossOfContact(t *testing.T) {
	g := newGate(noMajorityError())
	began := time.Now()
	if _, err := g.await(t.Context()); !fault.Is(err, fault.Unavailable) {
		t.Errorf("got %v at a gate that stays closed, want a fault of kind Unavailable", err)
	}
	if took := time.Since(began); took < openingWait {
		t.Errorf("the call waited %v, want %v", took, openingWait)
	}
	g.open()
	g.closeFor(noMajorityError(), false)
	began = time.Now()
	if _, err := g.await(t.Context()); !fault.Is(err, fault.Unavailable) {
		t.Errorf("got %v after a loss of contact, want a fault of kind Unavailable", err)
	}
	if took := time.Since(began); took >= openingWait {
		t.Errorf("after a loss of contact the call waited %v, want an answer at once", took)
	}
}

func TestGate_CancelledCallDoesNotWait(t *testing.T) {
	g := newGate(noMajorityError())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	began := time.Now()
	if _, err := g.await(ctx); err == nil {
		t.Error("a cancelled call passed a closed gate")
	}
	if took := time.Since(began); took >= openingWait {
		t.Errorf("a cancelled call waited %v", took)
	}
}
