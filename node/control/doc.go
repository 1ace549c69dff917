// Package control implements the control role, which maintains the replicated state and serves it: the Control and Jobs
// services for entries and sidecars, the Operator service for the command line.
//
// Membership is replicated, heartbeats are not. A Sync registers its sender through the log only when the record has
// changed; otherwise it renews soft state of the control VM that serves it. Each second a VM reports to the leader the
// nodes it has heard from since the last acknowledged digest. The leader declares a node lost when no VM has heard from
// it for a lease, but not within one lease of becoming the leader or of being frozen itself.
//
// A VM without contact with a majority answers no Sync. It releases the polls it holds, so that followers switch to
// another VM well within their lease. The first Sync of a follower is answered after a confirmed read.
//
// Duties, one goroutine each: the proposer batches steps into commands, the digester reports to the leader, the
// leaseWatch declares silent nodes lost and proposes the ticks of the state's clock, the holders watch reassigns the
// jobs of silent holders, and the contact watch opens and closes the gate.
package control
