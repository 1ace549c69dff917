// Package duty runs one goroutine that owns a state, and brings inputs to it over a bounded ring.
package duty
