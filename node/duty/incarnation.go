package duty

import (
	"crypto/rand"
	"encoding/hex"
)

// NewIncarnation returns a name that no process ever had.
func NewIncarnation() string {
	var drawn [8]byte
	// The reader never fails: the process ends if the system has no randomness.
	_, _ = rand.Read(drawn[:])
	return hex.EncodeToString(drawn[:])
}
