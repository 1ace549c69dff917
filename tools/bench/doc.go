// Package bench loads a running system and measures what its callers see.
//
// A Scenario is JSON with comments; NewPlan turns it into a fixed list of submissions with their intended times, from a
// seed and nothing else. Run sends them open loop: a submission goes out at its time whatever became of the earlier ones,
// and its response time counts from the intended time, so that a slow system can't hide behind a waiting client.
// Slowdown is the response time over the ideal: the longest run time among the job's tasks plus one round trip.
//
// The package starts no process and sends only to loopback addresses.
package bench
