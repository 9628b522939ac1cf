package ringer

import "sync"

// Ring keeps the last Size values that were put into it. It is safe for
// concurrent use.
type Ring[T any] struct {
	Size int // Size is set before the first Put; 0 means 1024.

	mu     sync.Mutex
	values []T
	next   int
}

const defaultSize = 1024

// Put adds v and drops the oldest value when the ring is full.
func (r *Ring[T]) Put(v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := r.Size
	if size == 0 {
		size = defaultSize
	}
	if len(r.values) < size {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % size
}

// Values returns the values, oldest first.
func (r *Ring[T]) Values() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]T, 0, len(r.values))
	out = append(out, r.values[r.next:]...)
	return append(out, r.values[:r.next]...)
}
