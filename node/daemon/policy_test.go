package daemon

import (
	"os"
	"path/filepath"
	"testing"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/policy"
)

func TestPlatform_PolicyIsAFileOrTheTextItself(t *testing.T) {
	const text = `{"faults": {"max_moves": 0}}`
	path := filepath.Join(t.TempDir(), "policy.jsonc")
	if err := os.WriteFile(path, []byte("// No moves.\n"+text), 0o600); err != nil {
		t.Fatal(err)
	}
	want := policy.Default()
	want.Faults.MaxMoves = 0
	for _, named := range []string{text, path} {
		got, err := (&platformCommand{Policy: named}).readPolicy()
		if err != nil || got != want {
			t.Errorf("--policy %s: %+v, %v, want no moves", named, got, err)
		}
	}
	if got, err := (&platformCommand{}).readPolicy(); err != nil || got != policy.Default() {
		t.Errorf("without --policy: %+v, %v, want the default", got, err)
	}
}

func TestPlatform_BadPolicyIsAnError(t *testing.T) {
	for named, kind := range map[string]fault.Kind{
		filepath.Join(t.TempDir(), "missing.jsonc"): fault.NotFound,
		`{"faults": `:                  fault.Malformed,
		`{"faults": {"moves": 1}}`:     fault.Invalid,
		`{"late": {"drain_share": 2}}`: fault.Invalid,
	} {
		if _, err := (&platformCommand{Policy: named}).readPolicy(); !fault.Is(err, kind) {
			t.Errorf("--policy %s: error %v, want kind %s", named, err, kind)
		}
	}
}

// The variants of deploy/ablation are given as arguments, by hand as files.
func TestPlatform_VariantsOfThePolicyAreValid(t *testing.T) {
	files, err := filepath.Glob("../../deploy/ablation/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d variants, %v", len(files), err)
	}
	for _, file := range files {
		got, err := (&platformCommand{Policy: file}).readPolicy()
		if err != nil || got == policy.Default() {
			t.Errorf("%s: %v, or no change", file, err)
		}
	}
}
