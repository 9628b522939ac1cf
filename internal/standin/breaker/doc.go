// Package breaker is a TCP forwarder for tests that makes connections silent,
// cuts them or holds them up, as faults of a network do.
package breaker
