package duty

import (
	"crypto/rand"
	"encoding/hex"
)

// Incarnation returns a new random name for a process. It is unique over all processes.
func Incarnation() string {
	var id [8]byte
	// rand.Read never returns an error: it crashes the process if the system has no randomness.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
