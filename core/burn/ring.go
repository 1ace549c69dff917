package burn

import "time"

// bucketsPerWindow is the number of time buckets that each window is cut into.
const bucketsPerWindow = 60

// bucket holds the submissions of one stretch of time.
type bucket struct {
	good uint32
	bad  uint32
}

// ring holds the newest bucketsPerWindow buckets of one window. The bucket with number n covers the n-th stretch of the
// bucket's width since the Unix epoch and lives at n modulo bucketsPerWindow, so that rings of several processes align.
type ring struct {
	newest  int64
	buckets [bucketsPerWindow]bucket
}

// numberAt returns the number of the bucket that covers now in a window of that length.
func numberAt(now time.Time, window time.Duration) int64 {
	width := window / bucketsPerWindow
	return now.UnixNano() / int64(width)
}

// add counts one submission in the bucket of that number. A clock that went back counts into the newest bucket.
func (r *ring) add(number int64, good bool) {
	r.advance(number)
	current := &r.buckets[r.newest%bucketsPerWindow]
	if good {
		current.good++
		return
	}
	current.bad++
}

// advance clears the buckets between the newest one and number.
func (r *ring) advance(number int64) {
	if number <= r.newest {
		return
	}
	first := max(r.newest+1, number-bucketsPerWindow+1)
	for n := first; n <= number; n++ {
		r.buckets[n%bucketsPerWindow] = bucket{}
	}
	r.newest = number
}

// each calls visit for every bucket that still lies in the window ending at number, oldest first.
func (r *ring) each(number int64, visit func(number int64, b bucket)) {
	last := max(number, r.newest)
	for n := last - bucketsPerWindow + 1; n <= r.newest; n++ {
		if n >= 0 {
			visit(n, r.buckets[n%bucketsPerWindow])
		}
	}
}

// idle reports whether nothing lies in the window that ends at number.
func (r *ring) idle(number int64) bool {
	return r.newest <= number-bucketsPerWindow
}
