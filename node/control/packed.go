package control

import (
	"sync"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/node/events"
)

// packedCatalogue caches the packed form of the newest revision, so that it is encoded once for all nodes.
type packedCatalogue struct {
	mutex    sync.Mutex
	revision uint64
	packed   []byte
}

// forRevision returns the packed form of a revision's document, or nil if it can't be encoded.
func (p *packedCatalogue) forRevision(r *Role, current *catalogue.Revision) []byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.revision == current.Number {
		return p.packed
	}
	document, err := catalogue.Parse(current.Document)
	if err == nil {
		p.packed, err = document.Pack()
	}
	if err != nil {
		events.CatalogueNotPacked.LogError(r.logger, err, "revision", current.Number)
		p.packed = nil
	}
	p.revision = current.Number
	return p.packed
}
