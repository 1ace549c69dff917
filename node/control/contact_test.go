package control

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/core/fault"
)

// statusGroup is a group whose last contact with a majority is set by the test.
type statusGroup struct {
	Group
	confirmedAt time.Time
	failure     error
}

func (g *statusGroup) Ready() error { return g.failure }

func (g *statusGroup) Status() Status { return Status{ConfirmedAt: g.confirmedAt} }

func TestRole_ChecksContactMoreOftenWhileThereIsNone(t *testing.T) {
	group := &statusGroup{}
	role := &Role{logger: logr.Discard(), group: group, gate: newGate(noMajorityError())}
	check := func(when string, want time.Duration, isOpen bool) {
		t.Helper()
		if got := role.checkContact(); got != want {
			t.Errorf("%s: next check after %v, want %v", when, got, want)
		}
		if _, err := role.gate.check(); (err == nil) != isOpen {
			t.Errorf("%s: gate.check returned %v", when, err)
		}
	}
	check("before the first contact", reconnectPeriod, false)
	group.confirmedAt = time.Now()
	check("in contact", contactPeriod, true)
	group.confirmedAt = time.Now().Add(-2 * maxSilence)
	check("out of contact again", reconnectPeriod, false)
	if reconnectPeriod > contactPeriod/4 {
		t.Errorf("without contact the check period is %v, want at most a quarter of %v", reconnectPeriod, contactPeriod)
	}
}

// TestRole_NamesTheStorageIfItCanNotFollow guards against an error that blames the network for a full disk.
func TestRole_NamesTheStorageIfItCanNotFollow(t *testing.T) {
	group := &statusGroup{failure: fault.New(fault.Storage, "free space", "no space left on device")}
	role := &Role{logger: logr.Discard(), group: group, gate: newGate(stoppingError())}
	role.checkContact()
	_, err := role.gate.check()
	if !fault.Is(err, fault.Unavailable) || !strings.Contains(err.Error(), "no space left on device") {
		t.Errorf("got error %v, want fault.Unavailable that names the storage", err)
	}
}
