// Package client talks to a running system as callers and operators do: JSON over HTTP to entries, twirp to control VMs.
// Its errors are *fault.Error.
package client
