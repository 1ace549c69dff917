// Package stream carries frames between an entry and a sidecar in order, each once, over TCP connections that may break
// or go silent. A session outlives its connections: both sides number what they send, keep it until the other side has
// acknowledged it, and send it again on the next connection.
//
// A frame on the wire is its length (4 bytes), its number (8) and the number of the last frame received (8), then the
// payload. A connection begins with a greeting of the dialling side: the session's identity (16 bytes) and the number of
// the last frame received (8). The other side answers with one byte, 0 if it knows no such session, 1 if the
// session goes on and 2 if it is a new one, and the number of the last frame that it has received (8).
//
// HTTP, and with it twirp, does not fit here: at 200 bytes a message it takes twice the processor time of a frame at
// both ends (docs/DESIGN.md), a connection carries one exchange at a time, and an exchange that breaks is lost.
package stream
