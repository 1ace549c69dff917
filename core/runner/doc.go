// Package runner decides what one worker runs. It is a pure state machine: offers of entries, answers of the worker and
// the passing of time come in as method calls, and everything to be done goes out as Effects. Times are spans since the
// machine's boot, suspended time included.
//
// # Why a task never runs twice at a time
//
//   - The worker takes orders from this sidecar alone, under a fence that rises with each life of either of them. An
//     order that a predecessor left behind, and that arrives late, is below the fence and has no effect.
//   - What runs ends by itself when its lease lapses. The lease is a time on the worker's clock, so an order that
//     arrives late does not extend it.
//   - The lease never reaches beyond the grant of any entry whose tasks run. A grant reaches Limits.Grant beyond the
//     sending of the last probe that the entry has answered. So an entry that hears nothing knows when all that it
//     offered is over: Limits.Grant after its last answer, and a little for the rate of the worker's clock.
//   - An offer that the worker did not answer is revoked and, once the worker has confirmed that and told what ended,
//     refused; only then may the entry offer the task elsewhere.
package runner
