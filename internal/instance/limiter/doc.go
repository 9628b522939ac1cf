// Package limiter keeps the memory and the descriptors that the clients of an instance
// use below those of its machine.
//
// Each accepted connection is charged with what it holds: its buffers, the header of the
// request that is read or served, and the part of a body that is read ahead. While the
// sum is above the budget, or a listener has all its connections, those are closed first
// that hold most and send slowest. A connection whose requests were read to their end or
// have a slot is closed only when its client takes no answer. So a request that was
// refused with 503 has not run, and a request that has a slot is not cut off.
package limiter
