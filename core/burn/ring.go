package burn

import "time"

// bucketsPerWindow is the number of time buckets in each window.
const bucketsPerWindow = 60

// bucket counts the submissions of one period.
type bucket struct {
	good uint32
	bad  uint32
}

// ring holds the newest bucketsPerWindow buckets of one window. The bucket with number n covers the n-th period of the
// bucket's width since the Unix epoch and is stored at index n modulo bucketsPerWindow, so that the buckets of several
// processes are aligned.
type ring struct {
	newest  int64
	buckets [bucketsPerWindow]bucket
}

// bucketNumber returns the number of the bucket that covers now in a window of the given length.
func bucketNumber(now time.Time, window time.Duration) int64 {
	width := window / bucketsPerWindow
	return now.UnixNano() / int64(width)
}

// add counts one submission in the bucket with a number. If the clock went back, it counts in the newest bucket.
func (r *ring) add(number int64, good bool) {
	r.advance(number)
	current := &r.buckets[r.newest%bucketsPerWindow]
	if good {
		current.good++
		return
	}
	current.bad++
}

// advance clears the buckets after the newest one up to number, which becomes the newest.
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

// visitBuckets calls visit for each bucket in the window, oldest first. The window ends at number, or at the newest
// bucket if the clock went back.
func (r *ring) visitBuckets(number int64, visit func(number int64, b bucket)) {
	last := max(number, r.newest)
	for n := last - bucketsPerWindow + 1; n <= r.newest; n++ {
		if n >= 0 {
			visit(n, r.buckets[n%bucketsPerWindow])
		}
	}
}

// idle reports whether the window that ends at number contains no submission.
func (r *ring) idle(number int64) bool {
	return r.newest <= number-bucketsPerWindow
}
