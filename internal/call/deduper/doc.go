// Package deduper executes a non-idempotent call that carries an idempotency key
// at most once in the whole fleet of instances, and answers repeats of the call
// with the response of its first attempt.
//
// Rules.Decide decides what happens to an attempt. Deduper applies the decision,
// keeps a record of each call and forwards calls to the instance that may
// execute them.
//
// # Terms
//
//   - The idempotency key of a call is the text in its header Sardine-Id or,
//     without that, Idempotency-Key. It names one call; all attempts of the call
//     carry the same idempotency key. It may be a UUIDv7, which tells the time
//     of its creation, text issued by an instance, or any other text. Reasons
//     and the texts for operators and callers call it the identity.
//   - The place of an idempotency key is the instance that may execute calls
//     with this idempotency key. Each instance computes it by rendezvous hashing
//     over the list of instances that it reads from the platform.
//   - An incarnation is one run of an instance's process; its number is the
//     start time. An issued idempotency key consists of the peer address,
//     incarnation and sequence of its issuer, and only that incarnation may
//     execute the call.
//
// # Guarantee
//
// No two instances execute a call with the same idempotency key, no instance
// executes it twice, and no attempt that ran is reported as rejected. This holds
// under the following assumptions:
//
//   - MaxListAge + lag + MaxSkew + 2 x error <= Margin, where lag is the longest
//     time by which the list that an instance reads can be outdated, and error
//     is the largest deviation of an instance's clock. Callers' clocks need no
//     bound: an attempt whose idempotency key was created more than MaxSkew in
//     the future or more than Window ago has the outcome unknown.
//   - Fleet.Place starts a new series of reads (a new since) after every gap of
//     more than 10 s between two reads of the list, and when the process starts.
//   - Once the list has made an instance the place of an idempotency key, the
//     instance stays the place for more than 10 s + lag. Once it has stopped
//     being the place, more than 10 s + lag pass before it is the place again. If
//     two lists alternated faster than an instance reads them, two instances
//     could each see themselves as the place without interruption.
//   - At most one process at a time decides about calls under one name and peer
//     address. A process that was replaced may still finish calls that it
//     decided to execute.
//   - All attempts with an idempotency key that carries no time arrive within
//     Window of the first one.
//
// With MaxListAge 10 s, MaxSkew 5 s and Margin 30 s, a lag of 13 s and a clock
// error of 1 s are covered. Issued idempotency keys need none of these
// assumptions except that an incarnation denotes exactly one process.
//
// The first assumption is sufficient for this reason: let t be the creation time
// of an idempotency key. An instance that executes the call has seen itself as
// the place at least from t - Margin + error until a list not older than
// t - MaxSkew - error - MaxListAge - lag. For two instances, these intervals
// overlap, and at a time in both of them the list would have to give the
// idempotency key two places.
package deduper
