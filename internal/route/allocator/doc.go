// Package allocator decides which call gets which slot of a backend server.
//
// The backend servers of a service in one availability zone form a pool. A large
// pool is split into shards. One instance is the home of each pool: it counts
// the slots in use, queues requests for slots by rank and grants free slots. An
// instance that has to send a call to a backend server, here called the entry of
// the call, requests a slot from the home of a pool, uses it for the call and
// returns it with the result. A home that runs on the entry itself is called
// directly; others are reached over a grant stream, one for each pair of
// instances.
//
// # Terms of the grant stream
//
// The messages of a grant stream carry the number of the request that they
// belong to. The entry sends:
//
//   - Ask: requests a slot. Left is the time to the deadline of the call and
//     Target the time to its target, by which the caller prefers an answer.
//     Avoid lists backend servers that the call must not use. Hedge says that
//     the request must not be queued.
//   - Cancel: withdraws the request, or returns its slot unused.
//   - Done: returns the slot with the result of the call. With Keep set, the
//     entry keeps the slot for its next call instead.
//   - Use: the entry started another call on a slot that it kept.
//   - Silent: the call on a slot has gone without an answer for much longer than
//     its route takes. Done says the same of a call that has ended.
//   - Held: the entry holds a slot that another home of the pool granted.
//
// The home sends:
//
//   - Queued: the request waits for a slot.
//   - Offer: a slot of a backend server is granted. With Keep set, the entry may
//     keep it after the call. Pace and Age are the last reported slowdown of the
//     server and the age of that report. With Cold set, the server is in a cold start,
//     and the call has to start within MaxColdDelay of the ways of Ask and Offer, which
//     the entry computes by Wait, the time that the request waited; see
//     docs/design/cold-servers.md.
//   - Refuse: the request gets no slot. Reason is full when the queue of the
//     rank is full, late when the call would miss its deadline or its target,
//     and none when no backend server is allowed to run the call. After is the
//     suggested delay before a retry.
//   - Recall: a kept slot has to be returned.
//
// # Other terms
//
// The rank of a call is its priority class: urgent, normal or patient. The floor
// of a rank is the share of the slot time that it gets even while higher ranks
// have requests waiting.
//
// The slowdown of a backend server is the time that it takes for some work
// relative to its usual time; 2 means half of its usual speed. The hold time of
// a call is the time for which it uses a slot, and its work is the hold time on
// a server at its usual speed.
//
// External calls run on a backend server without being counted by the home, such
// as calls that a second home or a lost instance granted.
package allocator
