// Package breaker is a TCP proxy for tests that breaks connections to a
// backend server at a chosen byte. It stands in for toxiproxy, whose
// dependencies cannot be fetched here.
package breaker
