// Package simulator computes a lower bound of latency for planned calls: that of
// one central first-come-first-served queue which always knows which slots are
// free. A dispatch policy that knows less cannot reach a lower latency, so a
// scenario compares the measured latency of each policy with this bound.
//
// A slot is the capacity of a backend server for one call at a time.
package simulator
