// Package sender sends a call to a backend server and knows, when that
// fails, whether the backend server can have run it.
//
// A connection carries one exchange at a time and is an http.ClientConn of its
// own. http.Transport with its connection pool is not used because it resends
// a call when a reused connection breaks. A connection is used again only when
// the exchange before it ended completely and no byte beyond its answer has
// arrived.
//
// A call that may be repeated is sent a second time, to the same backend server
// on a new connection, when a reused connection gives no byte of an answer for
// several times the usual latency. Closing the silent connection cancels the
// first run, so both use one slot.
package sender
