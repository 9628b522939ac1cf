// Package linker holds the sessions to other instances: yamux over TCP with
// mutual TLS, each stream of one kind.
package linker
