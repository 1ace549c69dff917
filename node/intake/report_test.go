package intake

import (
	"expvar"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/node/metrics"
)

// signalled signals when the pool closes it.
type signalled struct {
	remote
	closing chan struct{}
}

func (s *signalled) Close() error { close(s.closing); return nil }

// TestReport_FirstClosedConnectionDuringAReadOfTheMetrics guards against a deadlock: the first count of a name waits for readers of the
// metrics, whose gauges wait for the pool. If it fails, the metrics of the process remain locked.
func TestReport_FirstClosedConnectionDuringAReadOfTheMetrics(t *testing.T) {
	role := metrics.NewRole("intake", t.Name())
	p := NewPool(Limits{Memory: 1 << 30, Descriptors: 300}, Outside, logr.Discard(), role)
	p.connections = 1
	waiting := &signalled{remote: remote{address: "10.0.0.1"}, closing: make(chan struct{})}
	if p.admit(waiting) == nil {
		t.Fatal("no room in an empty pool")
	}
	admitted := make(chan struct{})
	isFirst := true
	// The name is read before the gauges of the pool.
	role.Gauge("a_first", func() any {
		if isFirst {
			isFirst = false
			go func() { p.admit(&remote{address: "10.0.0.2"}); close(admitted) }()
			<-waiting.closing
		}
		return 0
	})
	go func() { _ = expvar.Get("flamingohall").String() }()
	select {
	case <-admitted:
	case <-time.After(5 * time.Second):
		t.Fatal("the pool's mutex is held for ever")
	}
}
