// Package stager sets up a small deployment inside one process for tests and
// trials: the platform's stand-in and backend servers on loopback.
package stager
