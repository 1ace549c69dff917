// Package registry keeps the nodes that announced themselves: entries and sidecars, each with the incarnation of its
// process, and the targets that operators drained.
//
// A record carries the log index of its last change, and a removal leaves a tombstone with its own, so that a follower
// at any index gets the difference. Tombstones are bounded: a follower from before the oldest gets everything.
//
// An incarnation that was replaced, or that said goodbye, can't come back: its late messages are refused. One that was
// only given up as lost may return.
package registry
