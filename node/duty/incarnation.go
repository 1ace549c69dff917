package duty

import (
	"crypto/rand"
	"encoding/hex"
)

// Incarnation returns a name that no process ever had.
func Incarnation() string {
	var drawn [8]byte
	// The reader never fails: the process ends if the system has no randomness.
	_, _ = rand.Read(drawn[:])
	return hex.EncodeToString(drawn[:])
}
