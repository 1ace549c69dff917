//go:build lean

package daemon

import (
	"github.com/go-logr/logr"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/settings"
)

// newEntry returns an error. The HTTP library of the callers' API takes 5 MB in every process of a binary that contains it,
// so builds for small machines leave the entry role out.
func newEntry(*settings.File, logr.Logger) (role, error) {
	return nil, fault.New(fault.Invalid, `build without the tag "lean"`, "this build has no entry role")
}
