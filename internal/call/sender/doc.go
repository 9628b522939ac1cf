// Package sender sends a call to a backend server once and knows, when that
// fails, whether the backend server can have run it.
//
// A connection carries one exchange at a time and is an http.ClientConn of its
// own. http.Transport with its connection pool is not used because it resends
// a call when a reused connection breaks. A connection is used again only when
// the exchange before it ended completely and no byte beyond its answer has
// arrived.
package sender
