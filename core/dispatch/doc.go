// Package dispatch decides, for one entry, which jobs are accepted, which worker each of their tasks is offered to, and
// which tasks are retried. It is a pure state machine: submissions, frames from sidecars and the current time are passed
// in as method calls, and every action to perform is returned in Effects. Times are durations since boot of the machine,
// including time spent suspended.
//
// A job is kept in memory only: its caller waits on an open connection and resubmits the job if the entry dies. Its
// tasks may then run again, but no task ever has two runs at the same time. Package runner documents how sidecars
// guarantee this; this package contributes by offering a task again only when
//
//   - the sidecar has rejected the offer or reported the end of the run, or
//   - the session has ended, and Limits.Grant has passed since the entry last answered a probe.
//
// A caller without an answer may submit its job again, at any entry, while the first one still runs it. Entries therefore report
// their jobs in progress to each other, and a job that may be running because of an earlier submission is held: it gets that one's
// answer, or starts once the reports have ended. Two copies that reach two entries before the first report both run.
package dispatch
