package control

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
)

// statusGroup is a group whose last contact with a majority is set by the test.
type statusGroup struct {
	Group
	confirmedAt time.Time
}

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
