// Package client is a client of a running system for callers and operators. It uses JSON over HTTP to entries and Twirp
// to control VMs. Its errors are *fault.Error.
package client
