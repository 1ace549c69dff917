package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"reflect"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/fault"
	"flamingohall.example/node/rpc"
	"flamingohall.example/tools/client"
)

type diffCommand struct {
	File     string `arg:"" help:"Catalogue: JSON with comments."`
	Revision uint64 `help:"Revision to compare with; 0 is the current one." placeholder:"N"`
	Check    bool   `help:"Exit with 1 when there is a difference."`
}

// Help returns the long help: what is compared.
func (diffCommand) Help() string {
	return `Compares owners and entries by name; comments, layout and order don't count.`
}

// changeKind is what applying a file does to an owner or an entry.
type changeKind string

const (
	added   changeKind = "added"
	removed changeKind = "removed"
	changed changeKind = "changed"
)

// difference is one owner or entry that applying a file changes.
type difference struct {
	Kind changeKind `json:"kind"`
	// What is "owner" or "entry".
	What string `json:"what"`
	Name string `json:"name"`
	// Before is absent for added items, After for removed ones.
	Before any `json:"before,omitempty"`
	After  any `json:"after,omitempty"`
}

// Run prints the differences.
func (c *diffCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	text, err := readCatalogue(c.File)
	if err != nil {
		return err
	}
	operator, err := globals.operator()
	if err != nil {
		return err
	}
	stored, err := storedCatalogue(ctx, operator, c.Revision)
	if err != nil {
		return err
	}
	document, err := catalogue.Parse(text)
	if err != nil {
		return err
	}
	differences := compare(stored, document)
	if err := printDifferences(out, globals, differences); err != nil {
		return err
	}
	if c.Check && len(differences) > 0 {
		return fault.New(fault.Internal, "apply the file or correct it", "%d differences", len(differences))
	}
	return nil
}

func storedCatalogue(ctx context.Context, operator *client.Operator, number uint64) (catalogue.Document, error) {
	if number == 0 {
		current, err := currentCatalogue(ctx, operator)
		if err != nil {
			return catalogue.Document{}, err
		}
		return parseStored(current.Document)
	}
	response, err := client.Call(ctx, operator, &rpc.GetCatalogueRequest{Revision: number}, rpc.Operator.GetCatalogue)
	if err != nil {
		return catalogue.Document{}, err
	}
	return parseStored(response.Document)
}

// compare lists the differences, owners before entries. Within each, added and changed items come in the order of after,
// then removed ones in the order of before.
func compare(before, after catalogue.Document) []difference {
	ownerName := func(owner catalogue.Owner) string { return owner.Name }
	entryName := func(entry catalogue.Entry) string { return entry.Name }
	differences := compareLists("owner", before.Owners, after.Owners, ownerName)
	return append(differences, compareLists("entry", before.Entries, after.Entries, entryName)...)
}

func compareLists[T any](what string, before, after []T, name func(T) string) []difference {
	differences := []difference{}
	old := map[string]T{}
	for _, item := range before {
		old[name(item)] = item
	}
	for _, item := range after {
		previous, found := old[name(item)]
		delete(old, name(item))
		switch {
		case !found:
			differences = append(differences, difference{Kind: added, What: what, Name: name(item), After: item})
		case !reflect.DeepEqual(previous, item):
			differences = append(differences,
				difference{Kind: changed, What: what, Name: name(item), Before: previous, After: item})
		}
	}
	for _, item := range before {
		if _, missing := old[name(item)]; missing {
			differences = append(differences, difference{Kind: removed, What: what, Name: name(item), Before: item})
		}
	}
	return differences
}

func printDifferences(out io.Writer, globals *Globals, differences []difference) error {
	if globals.JSON {
		return printJSON(out, differences)
	}
	for _, d := range differences {
		_, _ = fmt.Fprintf(out, "%s %s %s\n", d.Kind, d.What, d.Name)
		printSide(out, "-", d.Before)
		printSide(out, "+", d.After)
	}
	if len(differences) == 0 {
		_, _ = fmt.Fprintln(out, "no difference")
	}
	return nil
}

func printSide(out io.Writer, sign string, side any) {
	if side == nil {
		return
	}
	text, err := json.Marshal(side)
	if err == nil {
		_, _ = fmt.Fprintf(out, "  %s %s\n", sign, text)
	}
}
