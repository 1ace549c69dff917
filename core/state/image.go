package state

import (
	"github.com/go-faster/errors"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/claim"
	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/registry"
)

// imageVersion is the version of the snapshot format.
const imageVersion = 1

// image is the content of a snapshot.
type image struct {
	Version        int                  `cbor:"version"`
	Index          uint64               `cbor:"index"`
	CatalogueIndex uint64               `cbor:"catalogue_index"`
	RegistryIndex  uint64               `cbor:"registry_index"`
	ClockMS        int64                `cbor:"clock"`
	TickIndex      uint64               `cbor:"tick"`
	Catalogue      catalogue.StoreImage `cbor:"catalogue"`
	Claims         claim.Image          `cbor:"claims"`
	Registry       registry.Image       `cbor:"registry"`
	Jobs           jobstore.Image       `cbor:"jobs"`
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) {
	return encode("snapshot", image{
		Version: imageVersion, Index: s.Index, CatalogueIndex: s.CatalogueIndex, RegistryIndex: s.RegistryIndex,
		ClockMS: s.ClockMS, TickIndex: s.TickIndex, Catalogue: s.Catalogue.Image(), Claims: s.Claims.Image(),
		Registry: s.Registry.Image(), Jobs: s.Jobs.Image(),
	}, s.Catalogue.Size()+s.Claims.Size()+s.Jobs.Size()+snapshotOverheadBytes)
}

// Restore decodes the output of Snapshot.
func Restore(snapshot []byte) (*State, error) {
	var stored image
	if err := decode("snapshot", snapshot, &stored); err != nil {
		return nil, err
	}
	if stored.Version != imageVersion {
		return nil, errors.Errorf("snapshot has format version %d, this program reads %d", stored.Version, imageVersion)
	}
	return &State{
		Index: stored.Index, CatalogueIndex: stored.CatalogueIndex, RegistryIndex: stored.RegistryIndex,
		ClockMS: stored.ClockMS, TickIndex: stored.TickIndex, Catalogue: catalogue.RestoreStore(stored.Catalogue),
		Claims: claim.Restore(claim.DefaultLimits, stored.Claims), Registry: registry.Restore(stored.Registry),
		Jobs: jobstore.Restore(jobstore.DefaultLimits, stored.Jobs),
	}, nil
}
