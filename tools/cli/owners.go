package cli

import (
	"context"
	"io"
	"strconv"

	"flamingohall.example/core/catalogue"
)

type ownersCommand struct{}

// Run lists the owners of the catalogue in force.
func (ownersCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	operator, err := globals.operator()
	if err != nil {
		return err
	}
	document, err := storedCatalogue(ctx, operator, 0)
	if err != nil {
		return err
	}
	if globals.JSON {
		return printJSON(out, append([]catalogue.Owner{}, document.Owners...))
	}
	rows := newTable(out, "OWNER\tWEIGHT\tRUNNING\tSTARTS A SECOND\tENTRIES")
	for _, owner := range document.Owners {
		rows.row("%s\t%d\t%s\t%s\t%d", owner.Name, owner.Weight, quotaText(float64(owner.Running)),
			quotaText(owner.StartsPerSecond), entriesOf(document, owner.Name))
	}
	return rows.flush()
}

// quotaText formats a quota; 0 means that there is none.
func quotaText(quota float64) string {
	if quota == 0 {
		return "no bound"
	}
	return strconv.FormatFloat(quota, 'g', -1, 64)
}

func entriesOf(document catalogue.Document, owner string) int {
	count := 0
	for _, entry := range document.Entries {
		if entry.Owner == owner {
			count++
		}
	}
	return count
}
