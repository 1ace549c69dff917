//go:build lean

package daemon

import (
	"github.com/go-logr/logr"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/settings"
)

// newEntry refuses: the HTTP library of the callers' API takes 5 MB in every process of a binary that holds it, so builds
// for small machines without that API leave it out.
func newEntry(*settings.File, logr.Logger) (role, error) {
	return nil, fault.New(fault.Invalid, `build without the tag "lean"`, "this build has no entry role")
}
