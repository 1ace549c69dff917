package state

import (
	"github.com/go-faster/errors"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/claim"
	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/registry"
)

// imageVersion names the layout of a snapshot.
const imageVersion = 1

// image is a snapshot.
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

// Snapshot returns the whole state as bytes.
func (s *State) Snapshot() ([]byte, error) {
	return encode("snapshot", image{
		Version: imageVersion, Index: s.Index, CatalogueIndex: s.CatalogueIndex, RegistryIndex: s.RegistryIndex,
		ClockMS: s.ClockMS, TickIndex: s.TickIndex, Catalogue: s.Catalogue.Image(), Claims: s.Claims.Image(),
		Registry: s.Registry.Image(), Jobs: s.Jobs.Image(),
	}, s.Catalogue.Size()+s.Claims.Size()+s.Jobs.Size()+snapshotSlack)
}

// Restore returns the state of a snapshot.
func Restore(snapshot []byte) (*State, error) {
	var read image
	if err := decode("snapshot", snapshot, &read); err != nil {
		return nil, err
	}
	if read.Version != imageVersion {
		return nil, errors.Errorf("snapshot has layout %d, this program reads %d", read.Version, imageVersion)
	}
	return &State{
		Index: read.Index, CatalogueIndex: read.CatalogueIndex, RegistryIndex: read.RegistryIndex,
		ClockMS: read.ClockMS, TickIndex: read.TickIndex, Catalogue: catalogue.RestoreStore(read.Catalogue),
		Claims: claim.Restore(claim.DefaultLimits, read.Claims), Registry: registry.Restore(read.Registry),
		Jobs: jobstore.Restore(jobstore.DefaultLimits, read.Jobs),
	}, nil
}
