package intake

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"flamingohall.example/core/fault"
)

const (
	// firstBuffer is the size of the first buffer for a body of unknown length.
	firstBuffer = 4 << 10
	// retryAfter is when a refused client may try again.
	retryAfter = time.Second
	// bodyTimeout is how long the shortest body may take to arrive, and slowestBody the bytes a second that longer ones need beyond it. A client
	// has as long for any body as the platform allows for all of a request.
	bodyTimeout = 10 * time.Second
	slowestBody = 256 << 10 / 5
)

// body is the body of a request whose bytes are charged.
type body struct {
	io.ReadCloser
	// conn is nil if the server has no pool.
	conn *conn
	// request is the one that the body belongs to; nil if the server has no pool.
	request *http.Request
	charged int64
	// paced is the size for which the time to arrive is limited, and began when the limit was first set; 0 if it is not limited.
	paced int
	began time.Time
	// message is set where handlers read bodies themselves.
	message *message
}

// Read returns the next bytes. The connection no longer waits for its client once all of them have been read.
func (b *body) Read(into []byte) (int, error) {
	read := b.ReadCloser.Read
	if b.message != nil {
		read = b.readMessage
	}
	count, err := read(into)
	if errors.Is(err, io.EOF) {
		if b.request != nil {
			// net/http has made a map of the lines that may follow the body. Nothing uses them.
			b.request.Trailer = nil
		}
		b.complete()
	}
	return count, err
}

// complete records that the whole body has been read.
func (b *body) complete() {
	if b.conn == nil {
		return
	}
	if b.paced > 0 {
		b.paced = 0
		_ = b.conn.Conn.SetReadDeadline(b.conn.deadline)
	}
	b.conn.pool.complete(b.conn)
}

func (b *body) hasNoDeadline() bool {
	return b.conn != nil && b.conn.deadline.IsZero()
}

// pace limits the time until the connection has sent a body of a size.
func (b *body) pace(size int) {
	if b.conn == nil || b.paced == size {
		return
	}
	if b.paced == 0 {
		b.began = time.Now()
	}
	b.paced = size
	limit := b.began.Add(b.conn.pool.bodyTimeout + time.Duration(size)*time.Second/slowestBody)
	if earlier := b.conn.deadline; !earlier.IsZero() && earlier.Before(limit) {
		return
	}
	// This fails only on a closed connection, where the read fails too.
	_ = b.conn.Conn.SetReadDeadline(limit)
}

// take charges bytes and returns how many it has charged. One request uses up to half of the budget, so that the largest one is served
// while there are no others.
func (b *body) take(bytes int64) (int64, error) {
	if b.conn == nil {
		return 0, nil
	}
	bytes = min(bytes, b.conn.pool.budget/2-b.charged)
	if !b.conn.pool.take(b.conn, bytes) {
		b.conn.pool.report.add(refusedBody)
		return 0, fault.New(fault.Unavailable, "try again later", "too much is being received").WithRetryAfter(retryAfter)
	}
	b.charged += bytes
	return bytes, nil
}

func (b *body) give(bytes int64) {
	if bytes > 0 {
		b.charged -= bytes
		b.conn.pool.give(b.conn, bytes)
	}
}

// ReadBody reads the body of a request, which may have up to limit bytes. Its errors are of type *fault.Error and kind TooLarge,
// Unavailable if there is no room for the body now, or Malformed if the body does not arrive.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		// A client that is still sending when its connection is closed may not see the answer.
		_, _ = io.CopyN(io.Discard, r.Body, limit)
		return nil, tooLarge(limit)
	}
	charged, isCharged := r.Body.(*body)
	if !isCharged {
		charged = &body{ReadCloser: r.Body}
	}
	if r.ContentLength >= 0 {
		return charged.readDeclared(r.ContentLength)
	}
	return charged.readUndeclared(limit)
}

// readDeclared reads a body whose length is known.
func (b *body) readDeclared(length int64) ([]byte, error) {
	if _, err := b.take(length); err != nil {
		return nil, err
	}
	buffer := make([]byte, length)
	if filled, err := b.fill(buffer); filled < len(buffer) {
		return nil, incomplete(err)
	}
	b.complete()
	return buffer, nil
}

// readUndeclared reads a body whose length is not known.
func (b *body) readUndeclared(limit int64) ([]byte, error) {
	var buffer []byte
	var charged int64
	for filled, size := 0, min(firstBuffer, limit+1); ; size = min(2*size, limit+1) {
		taken, err := b.take(size)
		if err != nil {
			return nil, err
		}
		grown := make([]byte, size)
		copy(grown, buffer[:filled])
		b.give(charged)
		buffer, charged = grown, taken
		count, err := b.fill(buffer[filled:])
		filled += count
		switch {
		case int64(filled) > limit:
			return nil, tooLarge(limit)
		case errors.Is(err, io.EOF):
			return buffer[:filled], nil
		case err != nil:
			return nil, incomplete(err)
		}
	}
}

// fill reads until the buffer is full. It returns the error of the reader as it is: io.EOF only at the end of the body.
func (b *body) fill(buffer []byte) (filled int, err error) {
	for filled < len(buffer) && err == nil {
		// Most bodies are there at the first read, so that they need no timer.
		if filled > 0 || b.hasNoDeadline() {
			b.pace(len(buffer))
		}
		var count int
		count, err = b.Read(buffer[filled:])
		filled += count
	}
	return filled, err
}

// Charge adds to what is held for a request until it is answered. The error is of type *fault.Error and kind Unavailable if there is no room.
func Charge(r *http.Request, bytes int64) error {
	charged, isCharged := r.Body.(*body)
	if !isCharged {
		return nil
	}
	_, err := charged.take(bytes)
	return err
}

func tooLarge(limit int64) error {
	return fault.New(fault.TooLarge, "send less", "the body exceeds %d bytes", limit)
}

func incomplete(err error) error {
	return fault.New(fault.Malformed, "send the whole body", "body: %v", err)
}
