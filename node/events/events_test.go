package events

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCatalogue_PageAgreesWithCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != markdown() {
		t.Error("docs/EVENTS.md differs from the declared events: run make generate")
	}
}

func TestCatalogue_EveryEventIsUsedAndDocumented(t *testing.T) {
	used := namesUsed(t)
	for name, event := range declared(t) {
		if !used[name] {
			t.Errorf("event %s (%s) is never logged", event, name)
		}
	}
	for _, event := range All() {
		if event.Meaning == "" || event.Action == "" {
			t.Errorf("event %d has no meaning or action", event.Number)
		}
	}
}

// declared maps the names of the package's event variables to their numbers as written in the source.
func declared(t *testing.T) map[string]string {
	t.Helper()
	names := map[string]string{}
	inspect(t, ".", func(node ast.Node) {
		spec, isSpec := node.(*ast.ValueSpec)
		if !isSpec || len(spec.Values) != 1 {
			return
		}
		call, isCall := spec.Values[0].(*ast.CallExpr)
		if !isCall {
			return
		}
		if callee, isName := call.Fun.(*ast.Ident); isName && callee.Name == "define" {
			names[spec.Names[0].Name] = call.Args[0].(*ast.BasicLit).Value
		}
	})
	return names
}

// namesUsed returns the names of package events that this module and module platform refer to.
func namesUsed(t *testing.T) map[string]bool {
	t.Helper()
	used := map[string]bool{}
	for _, folder := range []string{"..", "../../platform"} {
		inspect(t, folder, func(node ast.Node) {
			selector, isSelector := node.(*ast.SelectorExpr)
			if !isSelector {
				return
			}
			if name, isName := selector.X.(*ast.Ident); isName && name.Name == "events" {
				used[selector.Sel.Name] = true
			}
		})
	}
	return used
}

// inspect calls visit for each syntax node of the Go files below folder, except tests.
func inspect(t *testing.T, folder string, visit func(ast.Node)) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			visit(node)
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
