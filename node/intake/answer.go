package intake

import (
	"os"
	"time"

	"github.com/go-faster/errors"
)

const (
	// answerGrace is the time after which a connection waits for its client if the client does not read.
	answerGrace = time.Second
	// answerTimeout is how long the client may take to read the shortest part of an answer, and slowestAnswer the bytes a second that longer
	// ones need.
	answerTimeout = 10 * time.Second
	slowestAnswer = slowestBody
)

// Write sends a part of an answer. The time in which the client must read it begins when it is ready, however long the request took.
func (c *conn) Write(part []byte) (int, error) {
	if c.pool.answerTimeout == 0 {
		return c.Conn.Write(part)
	}
	ready := time.Now()
	// These fail only on a closed connection, where the write fails too.
	_ = c.SetWriteDeadline(ready.Add(c.pool.answerGrace))
	written, err := c.Conn.Write(part)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return written, err
	}
	if c.pool.stall(c) {
		defer c.pool.complete(c)
	}
	_ = c.SetWriteDeadline(ready.Add(c.pool.answerTimeout + time.Duration(len(part))*time.Second/slowestAnswer))
	rest, err := c.Conn.Write(part[written:])
	return written + rest, err
}

// stall records that a connection waits for its client to read. It returns false if it was waiting already. Connections of several
// streams are left as they are: others of their streams may be in progress.
func (p *Pool) stall(c *conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c.isClosed || c.isWaiting || p.largestMessage > 0 {
		return false
	}
	p.push(c)
	return true
}
