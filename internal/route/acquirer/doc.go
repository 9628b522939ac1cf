// Package acquirer is the client side of the grant protocol: before an instance
// forwards a call, it acquires a slot of a backend server here, and it releases
// the slot when the call ends.
//
// A slot is the right to send one call to a backend server. The backend servers
// of a service in one availability zone, or one shard of them, form a pool. Each
// pool has a home, the instance that counts the slots in use and queues the
// requests for slots. The instance that a call entered through, the entry, finds
// the home by rendezvous hashing and talks to it over a grant stream, or
// directly when it is the home itself.
//
// The names of these messages on a grant stream are fixed:
//
//   - Ask requests a slot of one pool; Cancel withdraws it, or gives back a slot
//     that was granted meanwhile or that the entry kept.
//   - Queued, Offer and Refuse are the replies: the ask waits, a slot is
//     granted, or no slot is available.
//   - Done gives a slot back with the outcome of the call. With Keep set, the
//     entry keeps the slot for a short time for its next call of the service;
//     Use reports that call, and Recall asks for the kept slot.
//   - Held makes a home count a slot that another home granted, after the pool
//     has moved or the stream to the other home has broken.
//
// Rank is the priority of a call. Pace on the wire is the slowdown of a server,
// the time that work takes on a backend server now relative to its usual time,
// and Age is the age of that value.
package acquirer
