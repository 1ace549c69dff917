// Package burn counts good and bad submissions and tells how fast each catalogue entry burns its error budget.
//
// A submission is good when it was answered whole within its entry's latency objective. The burn rate of a window is
// the bad share divided by the share that the objective allows: 1 spends the budget exactly, 10 spends it ten times too
// fast. Alerts need two windows at once, so that a short burst doesn't raise one and an old fault doesn't keep one.
//
// Time comes in as an argument. The types are not safe for concurrent use: one goroutine owns a Recorder.
package burn
