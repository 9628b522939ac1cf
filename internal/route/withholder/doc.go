// Package withholder records what backend servers have told this instance about
// calls that they do not want, and decides whether a call or a probe may start at a
// server.
//
// A statement belongs to one Lifetime, which is one run of a server process. A later
// process with the same name or address begins without it, and the platform's list
// does not revoke it. A server that states that it is leaving gets nothing more
// until its process ends. Calls that run there are not affected.
//
// The entry asks IsWithheld before it requests or uses a slot and again immediately
// before it writes a request. The home sees the statement as state leaving of the
// server, because MarkLeaving copies it to each routing table. The package reads no
// clock and does no I/O except for the audit trail.
package withholder
