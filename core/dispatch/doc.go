// Package dispatch decides, at one entry, which jobs are taken, which worker each of their tasks is offered to, and what
// is tried again. It is a pure state machine: submissions, frames of sidecars and the passing of time come in as method
// calls, and everything to be done goes out as Effects. Times are spans since the machine's boot, suspended time
// included.
//
// A job is kept in memory only: its caller waits on an open connection, and sends it again if the entry dies. Its tasks
// may then run again, but never two runs of one task at a time. Package runner tells how sidecars keep that; this
// package does its part by offering a task again only when
//
//   - the sidecar has refused the offer or told its end, or
//   - the session has ended, and Limits.Grant has passed since the entry's last answer to a probe.
package dispatch
