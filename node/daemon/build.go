package daemon

import (
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"flamingohall.example/node/control"
	"flamingohall.example/node/settings"
	"flamingohall.example/node/sidecar"
	"flamingohall.example/node/standin"
)

// builder creates one role of a process.
type builder struct {
	name  string
	build func() (role, error)
}

// buildRoles creates the roles that the file has sections for, in the order in which they start.
func buildRoles(file *settings.File, logger logr.Logger) ([]namedRole, error) {
	var roles []namedRole
	for _, b := range builders(file, logger) {
		r, err := b.build()
		if err != nil {
			return nil, errors.Wrap(err, b.name)
		}
		roles = append(roles, namedRole{name: b.name, role: r})
	}
	return roles, nil
}

// builders lists the roles in the order in which they start: a role comes after those that it depends on.
func builders(file *settings.File, logger logr.Logger) []builder {
	var list []builder
	add := func(name string, present bool, build func() (role, error)) {
		if present {
			list = append(list, builder{name: name, build: build})
		}
	}
	add("control", file.Control != nil, func() (role, error) { return control.New(file, logger) })
	add("stand_in", file.StandIn != nil, func() (role, error) { return standin.New(*file.StandIn, logger) })
	add("sidecar", file.Sidecar != nil, func() (role, error) { return sidecar.New(file, logger) })
	add("entry", file.Entry != nil, func() (role, error) { return newEntry(file, logger) })
	return list
}
