package daemon

import (
	"flamingohall.example/node/settings"
)

// Run runs the process until it is asked to stop.
func (c *runCommand) Run() error {
	_, err := settings.Read(c.File)
	return err
}
