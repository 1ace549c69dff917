// Package jobstore is the replicated table of accepted jobs: their submissions, the entries that run them, their
// completed tasks and their final states. It is a deterministic state machine: every control VM applies the commands of
// the log to it in order.
//
// The entry process that runs a job is its holder. A job has one holder at a time, and its epoch increases with each
// new holder. A holder from which control has not heard for some time is retired: its jobs are assigned to other
// holders, and no new jobs are stored for it. The end of a run is final, so any process may record it, not only the
// holder. Recording it again has no effect.
package jobstore
