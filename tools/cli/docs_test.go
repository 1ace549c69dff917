package cli_test

import (
	"bytes"
	"os"
	"testing"

	"flamingohall.example/tools/cli"
)

func TestDocs_PageIsCurrent(t *testing.T) {
	want, err := os.ReadFile("../../docs/CLI.md")
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	if err := cli.Main([]string{"docs"}, &got, &got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Error("docs/CLI.md is not what the program prints: run make generate")
	}
}
