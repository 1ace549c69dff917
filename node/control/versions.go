package control

import (
	"context"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/fault"
	"flamingohall.example/core/state"
	"flamingohall.example/node/events"
)

// ApplyVersion makes a document the catalogue if its version is above the current one, and otherwise changes nothing.
// The source from which the document was generated is stored with it. The same version may be sent again, to any
// control VM. After fault.Malformed, fault.Invalid, fault.TooLarge and fault.Unavailable nothing has changed; after
// fault.Unknown the document may be in force or not.
func (r *Role) ApplyVersion(
	ctx context.Context, version uint64, document, source []byte, author string,
) (catalogue.Answer, error) {
	if version == 0 {
		return catalogue.Answer{}, fault.New(fault.Invalid, "number versions from 1", "catalogue: version is 0")
	}
	if _, err := catalogue.Parse(document); err != nil {
		return catalogue.Answer{}, err
	}
	if _, err := r.gate.await(ctx); err != nil {
		return catalogue.Answer{}, err
	}
	change := catalogue.Change{Version: version, Document: document, Source: source, Author: author}
	_, result, err := r.proposer.propose(ctx, state.Step{Change: &change})
	if err != nil {
		return catalogue.Answer{}, err
	}
	answer := *result.Change
	event := events.CatalogueChanged
	if !answer.Applied {
		event = events.CatalogueVersionStale
	}
	event.Log(r.logger, "version", version, "author", author, "revision", answer.Revision)
	return answer, nil
}

// CurrentCatalogue returns the newest catalogue revision after a confirmed read. The error is fault.Unavailable.
func (r *Role) CurrentCatalogue(ctx context.Context) (catalogue.Revision, error) {
	if err := (&operator{role: r}).confirm(ctx); err != nil {
		return catalogue.Revision{}, err
	}
	var current catalogue.Revision
	r.machine.read(func(s *state.State) { current = s.Catalogue.Current() })
	return current, nil
}

// SetSeeds replaces the addresses through which this VM finds the group.
func (r *Role) SetSeeds(addresses []string) {
	r.group.SetSeeds(addresses)
}

// Replica returns the id of this VM's data folder, as in Member.
func (r *Role) Replica() uint64 {
	return r.group.Status().Replica
}

// Members returns the control VMs that this VM knows.
func (r *Role) Members() []Member {
	return r.group.Status().Members
}
