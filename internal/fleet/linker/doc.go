// Package linker holds the sessions to other instances: yamux over TCP with
// mutual TLS, each stream of one kind.
//
// One session serves both directions: an instance that accepted a session uses
// it for its own streams to the address that the peer announced in its Hello.
// The dialing side opens the first stream, on which both sides exchange Hello;
// every later stream starts with one byte that gives its kind.
package linker
