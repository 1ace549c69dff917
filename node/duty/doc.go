// Package duty runs a goroutine that owns some state and receives its inputs over a bounded channel.
package duty
