package control

import (
	"time"

	"flamingohall.example/core/state"
)

// publishGauges registers the metrics that are computed on read.
func (r *Role) publishGauges() {
	r.metrics.Gauge("nodes", func() any { return r.gaugeOf(func(s *state.State) int { return s.Registry.Len() }) })
	r.metrics.Gauge("claims_kept", func() any { return r.gaugeOf(func(s *state.State) int { return s.Claims.Len() }) })
	r.metrics.Gauge("catalogue_revision", func() any {
		return r.gaugeOf(func(s *state.State) int { return int(s.Catalogue.Current().Number) })
	})
	r.metrics.Gauge("applied_index", func() any { return r.gaugeOf(func(s *state.State) int { return int(s.Index) }) })
	r.metrics.Gauge("evacuated_data_centres", func() any {
		return r.gaugeOf(func(s *state.State) int { return len(s.Registry.Evacuations()) })
	})
	r.metrics.Gauge("staleness_ms", func() any { return time.Since(r.group.Status().ConfirmedAt).Milliseconds() })
}

func (r *Role) gaugeOf(value func(s *state.State) int) int {
	var count int
	r.machine.read(func(s *state.State) { count = value(s) })
	return count
}
