package control

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
)

// quietGroup is a group whose contact with a majority the test sets.
type quietGroup struct {
	Group
	confirmedAt time.Time
}

func (g *quietGroup) Status() Status { return Status{ConfirmedAt: g.confirmedAt} }

func TestRole_LooksForContactMoreOftenWhileThereIsNone(t *testing.T) {
	group := &quietGroup{}
	role := &Role{logger: logr.Discard(), group: group, gate: newGate(noMajorityError())}
	check := func(when string, want time.Duration, isOpen bool) {
		t.Helper()
		if got := role.checkContact(); got != want {
			t.Errorf("%s: looks again after %v, want %v", when, got, want)
		}
		if _, err := role.gate.check(); (err == nil) != isOpen {
			t.Errorf("%s: gate says %v", when, err)
		}
	}
	check("before the first contact", reconnectPeriod, false)
	group.confirmedAt = time.Now()
	check("in contact", contactPeriod, true)
	group.confirmedAt = time.Now().Add(-2 * maxSilence)
	check("out of contact again", reconnectPeriod, false)
	if reconnectPeriod > contactPeriod/4 {
		t.Errorf("without contact it is looked for every %v, not much sooner than every %v", reconnectPeriod, contactPeriod)
	}
}
