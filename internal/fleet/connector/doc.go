// Package connector keeps connections to other instances and opens streams on
// them: yamux sessions over TCP, secured with mutual TLS unless Plain is set.
//
// Either side may open streams on a session, whichever side dialed it. An
// instance therefore uses a session that it accepted for its own streams to the
// listener address that the peer announced.
//
// Hello is the message in which an instance announces its name, availability
// zone, listener address and protocol version. The dialing side opens the first
// stream of a session, on which both sides send a Hello. Every later stream
// starts with one byte, its StreamKind, which says what the stream carries.
//
// Incarnation is the start time of an instance's process. It tells a process
// from an earlier one of the same name or address.
package connector
