// Package stream delivers frames between an entry and a sidecar exactly once and in order, over TCP connections that may
// break or stop delivering. A session outlives its connections: both sides number their frames, keep each until the other
// side has acknowledged it, and send unacknowledged frames again on the next connection.
//
// On the wire, a frame is its payload length (4 bytes), its number (8), the number of the last frame received (8) and the
// payload. The dialling side starts a connection with a handshake: the session's identity (16 bytes) and the number of
// the last frame received (8). The other side answers with one byte for the state of the session, 0 if unknown, 1 if
// resumed and 2 if new, and the number of the last frame that it has received (8).
//
// HTTP, and therefore twirp, is not suitable here: for messages of 200 bytes it takes twice the CPU time of a frame at
// both ends (docs/DESIGN.md), a connection carries one exchange at a time, and an interrupted exchange is lost.
package stream
