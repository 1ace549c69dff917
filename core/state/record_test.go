package state

import (
	"testing"

	"flamingohall.example/core/registry"
)

// TestState_PreservesBinaryNodeRecord checks that a record that is not valid UTF-8 is unchanged by the log, a snapshot
// and a restart of the node.
func TestState_PreservesBinaryNodeRecord(t *testing.T) {
	const record = "\xff\x00\xc3\x28"
	s := New()
	node := registry.Node{ID: "n", Role: registry.Sidecar, Incarnation: "1", Target: registry.Target{Record: record}}
	announce(t, s, 1, node)
	node.Incarnation, node.Target.Record = "2", ""
	announce(t, s, 2, node)
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if got, _ := restored.Registry.Node("n"); got.Incarnation != "2" || got.Target.Record != record {
		t.Errorf("restored node is %+v", got)
	}
	if restored.Registry.Differs(node) {
		t.Error("a repeated announcement without a record is treated as a change")
	}
}

func announce(t *testing.T, s *State, index uint64, node registry.Node) {
	t.Helper()
	encoded, err := Command{Steps: []Step{{Announce: &node}}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	answer, err := s.Apply(index, encoded)
	if err != nil {
		t.Fatal(err)
	}
	results, err := DecodeResults(answer)
	if err != nil || len(results) != 1 || !results[0].Accepted {
		t.Fatalf("results %+v, %v", results, err)
	}
}
