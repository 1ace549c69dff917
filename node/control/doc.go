// Package control is the role that keeps the replicated state and serves it: Control to entries and sidecars, Operator
// to the command line.
//
// Membership is replicated, heartbeats are not. A Sync registers its sender through the log only when the record
// changes; otherwise it renews soft state of the control VM that serves it. Each second a VM tells the leader whom it
// heard of since the last digest that was answered. The leader gives up a node that nobody heard of for a lease, though
// never within a lease of having become the leader or of having been frozen itself.
//
// A VM without contact to a majority answers no Sync: it releases its polls, so that followers move on well within
// their lease. The first Sync of a follower is answered after a confirmed read.
//
// Duties, one goroutine each: the proposer batches steps into commands, the digester reports to the leader, the leaseWatch
// gives up silent nodes and proposes the ticks of the state's clock, the contact watch opens and closes the gate.
package control
