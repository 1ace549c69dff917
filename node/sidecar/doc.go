// Package sidecar is the role that runs beside a target. It registers the target with control, accepts work from
// entries and starts each task when the state machine of package core/target allows it.
//
// It consists of goroutines that communicate over bounded channels. The loop owns the state machine; no other goroutine
// touches it. One caller for each slot sends tasks to the target. The watcher checks whether the target is reachable.
// The follower passes on an operator's changes. The loop never blocks: the channel to the callers has room for as many
// calls as there are slots, and each request has an answer channel with room for its one answer.
//
// The sidecar continues to serve while control is unreachable. It keeps outcomes in memory until the process ends: a new
// process has a new incarnation and refuses work that was meant for an earlier one.
package sidecar
