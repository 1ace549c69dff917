package gateway

import (
	"time"

	"flamingohall.example/node/controlclient"
	"flamingohall.example/node/events"
	"flamingohall.example/node/rpc"
)

// updateDrained informs the dispatcher of the sidecars that operators have drained, those of evacuated data centres included.
func (m *sessionManager) updateDrained(view *controlclient.View) {
	changed := false
	set := func(id string, drained bool) {
		changed = true
		m.gateway.put(func(time.Duration) { m.gateway.core.SetDrained(id, drained) })
	}
	for id := range m.drained {
		if !isDrainedSidecar(view.Nodes[id]) {
			delete(m.drained, id)
			set(id, false)
		}
	}
	for id, node := range view.Nodes {
		if isDrainedSidecar(node) && !m.drained[id] {
			m.drained[id] = true
			set(id, true)
		}
	}
	if changed {
		events.DrainsChanged.Log(m.gateway.options.Logger, "workers", len(m.drained), "evacuated", view.Evacuated)
	}
}

func isDrainedSidecar(node *rpc.Node) bool {
	return node.GetRole() == rpc.Role_ROLE_SIDECAR && node.GetDrained()
}
