package cli

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/fault"
	"flamingohall.example/node/rpc"
	"flamingohall.example/tools/client"
)

type catalogueCommand struct {
	Apply   applyCommand           `cmd:"" help:"Make FILE the catalogue in force."`
	Get     getCommand             `cmd:"" help:"Print a revision of the catalogue."`
	Diff    diffCommand            `cmd:"" help:"Print what applying FILE would change."`
	History historyCommand         `cmd:"" help:"List the latest changes."`
	Status  catalogueStatusCommand `cmd:"" help:"List which revision is in force at each node."`
}

type applyCommand struct {
	File         string  `arg:"" help:"Catalogue: JSON with comments."`
	BaseRevision *uint64 `help:"Revision that the change was made from; without it the current one is read." placeholder:"N"`
	Author       string  `help:"Who changes it; the user's name by default." env:"FLAMINGOHALL_AUTHOR"`
	ChangeID     string  `help:"Id of the change. The same id gets the same answer again; derived from author, base and file by default." placeholder:"ID"`
}

// Help returns the long help: examples, conflicts and resends.
func (applyCommand) Help() string {
	return `Examples:
  flamingohall catalogue apply catalogue.jsonc
  flamingohall catalogue apply --base-revision 7 catalogue.jsonc

When another change was accepted since the base revision, nothing is applied and the exit code is 3; the message names
the current revision and its author. After a lost answer the same command may be run again: the change is applied once.`
}

// applied is the JSON output of catalogue apply.
type applied struct {
	Applied  bool   `json:"applied"`
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id,omitempty"`
	// Unchanged is true when the file already is the catalogue in force.
	Unchanged bool `json:"unchanged,omitempty"`
}

// Run applies the file, or prints that it is already in force.
func (c *applyCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	document, err := readCatalogue(c.File)
	if err != nil {
		return err
	}
	operator, err := globals.operator()
	if err != nil {
		return err
	}
	request := &rpc.ApplyCatalogueRequest{Document: document, Author: authorOr(c.Author)}
	if c.BaseRevision != nil {
		request.BaseRevision = *c.BaseRevision
	} else {
		current, err := currentCatalogue(ctx, operator)
		if err != nil {
			return err
		}
		if bytes.Equal(current.Document, document) && c.ChangeID == "" {
			return printApplied(out, globals, applied{Revision: current.Revision, Unchanged: true})
		}
		request.BaseRevision = current.Revision
	}
	request.ChangeId = c.ChangeID
	if request.ChangeId == "" {
		request.ChangeId = changeID(request)
	}
	return c.send(ctx, globals, operator, request, out)
}

func (c *applyCommand) send(ctx context.Context, globals *Globals, operator *client.Operator,
	request *rpc.ApplyCatalogueRequest, out io.Writer,
) error {
	response, err := client.Call(ctx, operator, request, rpc.Operator.ApplyCatalogue)
	if err != nil {
		return err
	}
	if !response.Applied {
		return fault.New(fault.Conflict, "read it with catalogue get, merge your change and apply again",
			"conflict: the change was made from revision %d, but %s has applied revision %d (change %s)",
			request.BaseRevision, response.ChangedBy, response.Revision, response.ChangeId)
	}
	return printApplied(out, globals, applied{Applied: true, Revision: response.Revision, ChangeID: request.ChangeId})
}

// changeID derives an id from the base revision, author and document, so that a resend of the same change has the same id.
func changeID(request *rpc.ApplyCatalogueRequest) string {
	digest := sha256.New()
	base := binary.BigEndian.AppendUint64(nil, request.BaseRevision)
	author := binary.BigEndian.AppendUint64(nil, uint64(len(request.Author)))
	digest.Write(base)
	digest.Write(author)
	digest.Write([]byte(request.Author))
	digest.Write(request.Document)
	return hex.EncodeToString(digest.Sum(nil)[:16])
}

func printApplied(out io.Writer, globals *Globals, result applied) error {
	if globals.JSON {
		return printJSON(out, result)
	}
	if result.Unchanged {
		_, err := fmt.Fprintf(out, "unchanged: the file is revision %d already\n", result.Revision)
		return err
	}
	_, err := fmt.Fprintf(out, "applied as revision %d (change %s)\n", result.Revision, result.ChangeID)
	return err
}

// readCatalogue reads a file, checks that it is a valid catalogue and returns its text.
func readCatalogue(path string) ([]byte, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	if _, err := catalogue.Parse(text); err != nil {
		return nil, err
	}
	return text, nil
}

// currentCatalogue returns the catalogue in force. Before the first change it is revision 0 with an empty document.
func currentCatalogue(ctx context.Context, operator *client.Operator) (*rpc.GetCatalogueResponse, error) {
	current, err := client.Call(ctx, operator, &rpc.GetCatalogueRequest{}, rpc.Operator.GetCatalogue)
	if fault.Is(err, fault.NotFound) {
		return &rpc.GetCatalogueResponse{}, nil
	}
	return current, err
}

type getCommand struct {
	Revision uint64 `help:"Revision to print; 0 is the current one." placeholder:"N"`
}

// revision is the JSON output of a catalogue revision.
type revision struct {
	Revision      uint64              `json:"revision"`
	Author        string              `json:"author"`
	ChangeID      string              `json:"change_id"`
	AppliedUnixMS int64               `json:"applied_unix_ms"`
	Catalogue     *catalogue.Document `json:"catalogue,omitempty"`
}

// Run prints the text of the revision as it was applied, or with --json the parsed document and who applied it when.
func (c *getCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	operator, err := globals.operator()
	if err != nil {
		return err
	}
	request := &rpc.GetCatalogueRequest{Revision: c.Revision}
	response, err := client.Call(ctx, operator, request, rpc.Operator.GetCatalogue)
	if err != nil {
		return err
	}
	if !globals.JSON {
		_, err := out.Write(response.Document)
		return err
	}
	document, err := parseStored(response.Document)
	if err != nil {
		return err
	}
	return printJSON(out, revision{
		Revision: response.Revision, Author: response.Author, ChangeID: response.ChangeId,
		AppliedUnixMS: response.AppliedUnixMs, Catalogue: &document,
	})
}

// parseStored parses a document stored by control. An empty document means that there is no catalogue yet.
func parseStored(text []byte) (catalogue.Document, error) {
	if len(text) == 0 {
		return catalogue.Document{}, nil
	}
	return catalogue.Parse(text)
}

type historyCommand struct {
	Limit uint32 `help:"Number of changes to list, the latest first." default:"20"`
}

// Run lists the latest changes.
func (c *historyCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	operator, err := globals.operator()
	if err != nil {
		return err
	}
	response, err := client.Call(ctx, operator, &rpc.HistoryRequest{Limit: c.Limit}, rpc.Operator.History)
	if err != nil {
		return err
	}
	changes := []revision{}
	for _, change := range response.Changes {
		changes = append(changes, revision{
			Revision: change.Revision, Author: change.Author,
			ChangeID: change.ChangeId, AppliedUnixMS: change.AppliedUnixMs,
		})
	}
	if globals.JSON {
		return printJSON(out, changes)
	}
	rows := newTable(out, "REVISION\tAPPLIED\tAUTHOR\tCHANGE")
	for _, change := range changes {
		when := time.UnixMilli(change.AppliedUnixMS).UTC().Format(time.RFC3339)
		rows.row("%d\t%s\t%s\t%s", change.Revision, when, change.Author, change.ChangeID)
	}
	return rows.flush()
}
