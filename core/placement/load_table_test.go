package placement

import (
	"fmt"
	"testing"
	"time"
)

func newTestTable(policy Policy, lookahead int, targets ...Target) *LoadTable {
	table := NewLoadTable(Options{DataCentre: "here", Policy: policy, Lookahead: lookahead, Seed: 1})
	table.Update(targets)
	return table
}

func target(id, dataCentre string) Target {
	return Target{ID: id, Incarnation: "1", DataCentre: dataCentre, Pool: "p", Slots: 2}
}

var request = Request{Pool: "p", Slots: 1, Repeatable: true}

func TestLoadTable_LocalFirstThenSpills(t *testing.T) {
	table := newTestTable(twoChoices{}, 0, target("near", "here"), target("far", "there"))
	for _, want := range []string{"near", "near", "far", "far"} {
		s := table.Pick(start, request)
		if s == nil || s.ID != want {
			t.Fatalf("picked %v, want %s", s, want)
		}
		table.Started(s.Name(), 1)
	}
	if s := table.Pick(start, request); s != nil {
		t.Fatalf("picked %s of a full pool", s.ID)
	}
}

func TestLoadTable_LookaheadOnlyWhenFull(t *testing.T) {
	table := newTestTable(twoChoices{}, 1, target("a", "here"), target("b", "here"))
	taken := map[string]int{}
	for range 6 {
		s := table.Pick(start, request)
		table.Started(s.Name(), 1)
		taken[s.ID]++
		if taken[s.ID] > 2 && taken["a"]+taken["b"] <= 4 {
			t.Fatal("filled beyond the slots while another target had a free slot")
		}
	}
	if table.Pick(start, request) != nil {
		t.Fatal("filled beyond the lookahead")
	}
}

func TestLoadTable_ExcludesTargetsThatTakeNoWork(t *testing.T) {
	leaving, drained := target("leaving", "here"), target("drained", "here")
	leaving.Leaving, drained.Drained = true, true
	table := newTestTable(twoChoices{}, 0, leaving, drained, target("suspect", "here"), target("ejected", "here"), target("reported", "here"))
	table.Suspect(table.targets["suspect"].Name(), start.Add(time.Second))
	table.SetEjected("ejected", true, false)
	table.Report(start, "reported", Load{Incarnation: "1", Slots: 2, Leaving: true, Sequence: 1})
	if s := table.Pick(start, request); s != nil {
		t.Fatalf("picked %s", s.ID)
	}
	if s := table.Pick(start.Add(time.Second), request); s == nil || s.ID != "suspect" {
		t.Fatal("a suspect target was not picked after its time")
	}
	table.SetEjected("ejected", true, true)
	never := Request{Pool: "p", Slots: 1, Avoid: "suspect"}
	if s := table.Pick(start, never); s != nil {
		t.Fatalf("work that must not be repeated went to %s, which is on probation", s.ID)
	}
	if s := table.Pick(start, request); s == nil || s.ID != "ejected" {
		t.Fatal("the ejected target on probation got no repeatable work")
	}
}

func TestLoadTable_LateReportIsIgnored(t *testing.T) {
	table := newTestTable(twoChoices{}, 0, target("a", "here"))
	table.Report(start, "a", Load{Incarnation: "1", Busy: 2, Sequence: 2})
	table.Report(start, "a", Load{Incarnation: "1", Busy: 0, Sequence: 1})
	table.Report(start, "a", Load{Incarnation: "0", Busy: 0, Sequence: 9})
	if table.Pick(start, request) != nil {
		t.Fatal("an overtaken report was counted")
	}
	if table.Pick(start.Add(time.Second), request) == nil {
		t.Fatal("an old report still counts in full")
	}
}

func TestLoadTable_UpdateReturnsLostTargets(t *testing.T) {
	table := newTestTable(twoChoices{}, 0, target("stays", "here"), target("goes", "here"), target("restarts", "here"))
	again := target("restarts", "here")
	again.Incarnation = "2"
	lost := table.Update([]Target{target("stays", "here"), again})
	got := map[string]bool{}
	for _, l := range lost {
		got[fmt.Sprint(l.Target.ID, l.Target.Incarnation, l.Replaced)] = true
	}
	if len(lost) != 2 || !got["restarts1true"] || !got["goes1false"] {
		t.Fatalf("lost %v", lost)
	}
}

func TestPolicies_SpreadEvenly(t *testing.T) {
	for _, name := range []string{PolicyTwoChoices, PolicyLeast, PolicyOwn, PolicyRandom, PolicyRoundRobin} {
		policy, err := NewPolicy(name)
		if err != nil {
			t.Fatal(err)
		}
		var targets []Target
		for i := range 10 {
			targets = append(targets, target(fmt.Sprint(i), "here"))
		}
		table := newTestTable(policy, 0, targets...)
		for range 20 {
			s := table.Pick(start, request)
			if s == nil {
				t.Fatalf("%s: no target was picked from a pool with free slots", name)
			}
			table.Started(s.Name(), 1)
		}
		if table.Pick(start, request) != nil {
			t.Fatalf("%s: a target was picked from a full pool", name)
		}
	}
	if _, err := NewPolicy("luck"); err == nil {
		t.Fatal("an unknown policy is accepted")
	}
}
