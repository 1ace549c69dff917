package policy_test

import (
	"strings"
	"testing"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/policy"
)

func TestRead_ChangesOnlyWhatTheFileNames(t *testing.T) {
	got, err := policy.Read(strings.NewReader(`{
		// Comments are allowed.
		"faults": {"ejection": false},
	}`))
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Default()
	want.Faults.Ejection = false
	if got != want {
		t.Errorf("policy %+v, want %+v", got, want)
	}
}

func TestRead_BadFilesAreRefused(t *testing.T) {
	for text, kind := range map[string]fault.Kind{
		`{"order": {`:                                  fault.Malformed,
		`{"order": {"no_such_field": true}}`:           fault.Invalid,
		`{"order": {"by_slack": 1}}`:                   fault.Invalid,
		`{"admission": {"max_wait_share": 1.5}}`:       fault.Invalid,
		`{"admission": {"min_allowed_wait_ms": -1}}`:   fault.Invalid,
		`{"placement": {"sampled_workers": 0}}`:        fault.Invalid,
		`{"placement": {"min_useful_speed_ratio": 2}}`: fault.Invalid,
		`{"estimates": {"declared_weight": -0.1}}`:     fault.Invalid,
		`{"faults": {"max_moves": -1}}`:                fault.Invalid,
	} {
		if _, err := policy.Read(strings.NewReader(text)); !fault.Is(err, kind) {
			t.Errorf("%s: error %v, want kind %s", text, err, kind)
		}
	}
}
