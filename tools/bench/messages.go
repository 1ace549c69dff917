package bench

import (
	"cmp"
	"slices"
	"time"

	"flamingohall.example/tools/client"
)

// newNodeControls returns the control traffic of each node between two readings of the processes' counters.
func newNodeControls(before, after []client.Process, elapsed time.Duration) []NodeControl {
	list := []NodeControl{}
	for i, process := range after {
		for role, byNode := range process.Counters {
			for id, counters := range byNode {
				earlier := before[i].Counters[role][id]
				rate := func(name string) float64 { return float64(counters[name]-earlier[name]) / elapsed.Seconds() }
				list = append(list, NodeControl{
					Role: role, ID: id,
					BytesPerSecond:    rate(client.ControlBytes),
					MessagesPerSecond: rate(client.ControlMessages),
				})
			}
		}
	}
	slices.SortFunc(list, func(a, b NodeControl) int { return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID)) })
	return list
}
