package cli

import "testing"

func FuzzParseSubmission(f *testing.F) {
	f.Add([]byte(`{"owner": "o", "tasks": [{"payload": {"run_ms": 1}}], // a comment
	}`))
	f.Add([]byte(`{"tasks": [{"payload": null, "expected_run_ms": "x"}]}`))
	f.Add([]byte(`[1, {"owner": {}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		submission, err := parseSubmission("fuzz", text)
		if (submission == nil) == (err == nil) {
			t.Fatal("want a submission or an error")
		}
		if err != nil && ExitCode(err) != ExitUsage {
			t.Fatalf("exit code %d for %v", ExitCode(err), err)
		}
	})
}
