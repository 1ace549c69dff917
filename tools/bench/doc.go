// Package bench puts load on a running system and measures what its callers see.
//
// A Scenario is JSON with comments. NewPlan turns it into a fixed list of submissions with intended send times, which
// depends on the scenario and its seed only. Run sends them open loop: each submission is sent at its intended time,
// whether or not earlier ones are answered, and its response time counts from the intended time. A slow system therefore
// can't reduce the offered load or shorten the measured times (coordinated omission).
// Slowdown is the response time divided by the ideal: the longest run time among the job's tasks plus one round trip.
//
// The package starts no processes and sends to loopback addresses only.
package bench
