// Package sidecar is the role that runs beside a target. It announces the target to control, takes work from entries
// and starts each task through the gate of package core/target.
//
// Goroutines, each with one duty, joined by bounded channels: the loop owns the aggregate and is the only one to touch
// it; one caller for each slot sends tasks to the target; the watcher looks whether the target can be reached; the
// follower passes on what an operator sets. The loop never waits: the channel to the callers holds as many calls as
// there are slots, and each request has an answer channel with room for its one answer.
//
// The sidecar goes on serving while control is away. Its memory of outcomes lasts as long as the process: a new
// process has a new incarnation and refuses work that was meant for an earlier one.
package sidecar
