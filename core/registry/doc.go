// Package registry holds the nodes that have announced themselves: entries and sidecars, each with the incarnation of
// its process, and the targets that operators drained.
//
// A record carries the log index of its last change and a removal leaves a tombstone with the index of the removal, so
// that a follower at any index can be sent a delta. The number of tombstones is limited: a follower that is older than
// the last tombstone dropped needs a full sync.
//
// An incarnation that was replaced or that deregistered itself is refused from then on, so that its delayed messages have
// no effect. The number of remembered incarnations is limited. One that was removed as lost may return.
package registry
