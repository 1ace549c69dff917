package intake

import (
	"net/http"
	"strconv"
	"time"

	"flamingohall.example/core/fault"
)

const (
	// copies is how many times io.ReadAll, with which handlers of messages read, holds the bytes of a body while its buffer grows.
	copies = 2
	// chargeStep is the number of bytes that are charged at a time for a message of unknown length.
	chargeStep = 64 << 10
	// messageTimeout is how long a message of no length may take to arrive, and slowestMessage the bytes a second that longer ones need.
	messageTimeout = 5 * time.Second
	slowestMessage = 256 << 10
)

// message bounds a body that a handler reads with io.ReadAll.
type message struct {
	// isDeclared is true if all of the message has been charged.
	isDeclared bool
	// remaining is the number of bytes that may still be read, and ahead that of bytes that are charged and have not been read.
	remaining, ahead int64
	control          *http.ResponseController
}

// expect charges the message of a request and limits the time until it has arrived. Otherwise it answers the request and returns false.
func (b *body) expect(w http.ResponseWriter, r *http.Request) bool {
	largest := b.conn.pool.largestMessage
	if r.ContentLength > largest {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return false
	}
	if _, err := b.take(copies * max(0, r.ContentLength)); err != nil {
		refuseMessage(w)
		return false
	}
	b.message = &message{isDeclared: r.ContentLength >= 0, remaining: largest, control: http.NewResponseController(w)}
	length := r.ContentLength
	if length < 0 {
		length = largest
	}
	// This fails only for writers of tests, which have no connection.
	_ = b.message.control.SetReadDeadline(time.Now().Add(messageTimeout + time.Duration(length/slowestMessage)*time.Second))
	return true
}

// refuseMessage answers that there is no room for a message now.
func refuseMessage(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// readMessage reads the next bytes of a message.
func (b *body) readMessage(into []byte) (int, error) {
	m := b.message
	if !m.isDeclared {
		if m.ahead == 0 {
			if _, err := b.take(copies * chargeStep); err != nil {
				return 0, err
			}
			m.ahead = chargeStep
		}
		into = into[:min(int64(len(into)), m.ahead)]
	}
	count, err := b.ReadCloser.Read(into)
	m.ahead -= int64(count)
	m.remaining -= int64(count)
	if err == nil && m.remaining < 0 {
		return 0, fault.New(fault.TooLarge, "send less", "the message exceeds %d bytes", b.conn.pool.largestMessage)
	}
	if err != nil {
		_ = m.control.SetReadDeadline(time.Time{})
	}
	return count, err
}
