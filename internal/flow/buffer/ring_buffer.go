package buffer

import "sync"

// RingBuffer keeps the last Capacity values that were appended to it. It is safe for
// concurrent use.
type RingBuffer[T any] struct {
	Capacity int // Set before the first Append; 0 means 1024.

	mu     sync.Mutex
	values []T
	next   int // Index of the oldest value in a full buffer.
}

const defaultCapacity = 1024

// Append adds v. It replaces the oldest value when the buffer is full.
func (r *RingBuffer[T]) Append(v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	capacity := r.Capacity
	if capacity == 0 {
		capacity = defaultCapacity
	}
	if len(r.values) < capacity {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % capacity
}

// Values returns a copy of the values, oldest first.
func (r *RingBuffer[T]) Values() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]T, 0, len(r.values))
	out = append(out, r.values[r.next:]...)
	return append(out, r.values[:r.next]...)
}
