// Package controlclient is how entries and sidecars follow the control VMs. A Follower keeps one long poll open, turns
// its answers into immutable Views and never goes back in index. Control calls Claim and Finish over all control VMs.
//
// The follower has one loop. It prefers the control VM that answered last and moves on after a failure, after an answer
// that is older than what it knows, and away from a VM that has lost touch with the quorum. Each failure also drops the
// connections, since an open one may have gone silent.
package controlclient
