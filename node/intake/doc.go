// Package intake bounds what a process holds for clients that it doesn't control.
//
// A Pool belongs to a class of clients. It has a budget in bytes for what its clients have sent and the process has not yet answered, and a
// limit of open connections. Bytes are charged before they are read: a fixed amount for each connection when it is accepted, long headers
// while they arrive, and bodies before there is a buffer for them. They are returned when the request has been answered or the
// connection is closed.
//
// When the budget or the connections are used up, the client (IP address) for which most is held loses the connection that has waited
// longest for its client: an idle one, one whose request is not complete, or one that does not read its answer. So neither a client nor a
// crowd that stalls keeps others out. Other requests that are complete are never interrupted. If only they are left, new requests get status 503
// with Retry-After, and new connections are closed.
package intake
