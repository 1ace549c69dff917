// Package share decides which jobs are refused when a pool can't serve all of them in time.
//
// Load pattern: the demand on a pool exceeds its capacity for seconds, in a crest, in a burst, or after the loss of workers, while a
// dozen entries accept jobs for it. Each entry sees loads that are tens of milliseconds old and counts on the same free capacity
// as the others. If the entries accept all that seems to fit, the tasks wait longer than any job can, and jobs of all
// kinds are late.
//
// Entries report to sidecars which work waits for its start and at which rate their work starts, and sidecars return the sums.
// Waiting work divided by the rate is the time for which a new task waits, whatever the reason is. All entries compute it from
// nearly the same sums, so they refuse the same part of the jobs, whichever data centre the callers are in.
package share
