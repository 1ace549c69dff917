// Package job is the state machine of one submission: its tasks, their attempts and outcomes, the deadline and the
// answer.
//
// A Job performs no I/O: Step takes the time and an event, and returns effects for the runtime to carry out.
// It keeps these invariants:
//
//   - A job is answered once, and only when every task is settled. The answer is either complete (every task done) or
//     failed (with the outcome, cause and reason of every task).
//   - A never-repeated task has at most one attempt that may have started. It gets a new attempt only after the
//     earlier one is known not to have started and never to start.
//   - A task is reported as not run only if every attempt of it is known not to have started and never to start.
//   - A never-repeated job with an outcome other than done or failed is answered only after that answer is stored
//     (Finish), so that no later holder of the claim can start what was reported as not run.
package job
