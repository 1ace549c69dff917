package state

import (
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/claim"
	"flamingohall.example/core/registry"
)

// imageVersion names the layout of a snapshot.
const imageVersion = 1

// image is a snapshot.
type image struct {
	Version        int                  `msgpack:"version"`
	Index          uint64               `msgpack:"index"`
	CatalogueIndex uint64               `msgpack:"catalogue_index"`
	RegistryIndex  uint64               `msgpack:"registry_index"`
	ClockMS        int64                `msgpack:"clock"`
	TickIndex      uint64               `msgpack:"tick"`
	Catalogue      catalogue.StoreImage `msgpack:"catalogue"`
	Claims         claim.Image          `msgpack:"claims"`
	Registry       registry.Image       `msgpack:"registry"`
}

// Snapshot returns the whole state as bytes.
func (s *State) Snapshot() ([]byte, error) {
	encoded, err := msgpack.Marshal(image{
		Version: imageVersion, Index: s.Index, CatalogueIndex: s.CatalogueIndex, RegistryIndex: s.RegistryIndex,
		ClockMS: s.ClockMS, TickIndex: s.TickIndex, Catalogue: s.Catalogue.Image(), Claims: s.Claims.Image(),
		Registry: s.Registry.Image(),
	})
	if err != nil {
		return encoded, errors.Wrap(err, "encode snapshot")
	}
	return encoded, nil
}

// Restore returns the state of a snapshot.
func Restore(snapshot []byte) (*State, error) {
	var read image
	if err := msgpack.Unmarshal(snapshot, &read); err != nil {
		if err != nil {
			return nil, errors.Wrap(err, "decode snapshot")
		}
		return nil, nil
	}
	if read.Version != imageVersion {
		return nil, errors.Errorf("snapshot has layout %d, this program reads %d", read.Version, imageVersion)
	}
	return &State{
		Index: read.Index, CatalogueIndex: read.CatalogueIndex, RegistryIndex: read.RegistryIndex,
		ClockMS: read.ClockMS, TickIndex: read.TickIndex, Catalogue: catalogue.RestoreStore(read.Catalogue),
		Claims: claim.Restore(claim.DefaultLimits, read.Claims), Registry: registry.Restore(read.Registry),
	}, nil
}
