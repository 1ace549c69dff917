// Package controlclient is the client of the control VMs for entries and sidecars. A Follower keeps one long poll open
// and turns its answers into immutable Views whose index never decreases. Follower.Control calls Claim and Finish, and
// Jobs the service for stored jobs, with failover between the control VMs.
//
// The follower runs one loop. It stays with the control VM that answered last, and switches to another one after a
// failure, after an answer older than its view, and after an answer of a VM without contact with its quorum. Each
// failure also drops the connections to that VM, since an open one may be half-open.
package controlclient
