package intake

import "net/http"

// streamBytes is charged for each stream of a connection but the first: its goroutine (8 KiB) and structures.
const streamBytes = 10 << 10

// openStream charges a request that shares its connection with others, whose header is not measured as it is read. It returns what it has
// charged, and whether there was room.
func (c *conn) openStream(r *http.Request) (charged int64, hasRoom bool) {
	for name, values := range r.Header {
		for _, value := range values {
			charged += int64(lineBytes + len(name) + len(value))
		}
	}
	charged += int64(len(r.Host) + len(r.RequestURI))
	if c.streams.Add(1) > 1 {
		charged += streamBytes
	}
	if !c.pool.take(c, charged) {
		c.pool.report.add(refusedHeader)
		return 0, false
	}
	return charged, true
}

func (c *conn) closeStream(charged int64) {
	c.streams.Add(-1)
	c.pool.give(c, charged)
}
