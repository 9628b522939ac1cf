// Package breaker breaks connections in tests, as faults of a network do:
// Breaker and Path forward connections that can go silent, Gate refuses paths
// between instances.
package breaker
