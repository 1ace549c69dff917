//go:build !lean

package daemon

import (
	"github.com/go-logr/logr"

	"flamingohall.example/node/entry"
	"flamingohall.example/node/settings"
)

func newEntry(file *settings.File, logger logr.Logger) (role, error) {
	return entry.New(file, logger)
}
