// Package burn counts good and bad submissions and computes the burn rate of each catalogue entry's error budget.
//
// A submission is good if it was answered completely within its entry's latency objective. The burn rate of a window is
// the share of bad submissions divided by the share that the objective allows: 1 uses up the budget exactly, 10 uses it
// up ten times too fast. An alert requires a high burn rate in two windows, so that a short burst doesn't raise one and
// a past fault doesn't keep one raised.
//
// The current time is passed as an argument. The types are not safe for concurrent use.
package burn
