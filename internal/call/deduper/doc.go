// Package deduper runs a non-idempotent call that has an identity at most once
// in the whole fleet, and gives its repeats the first answer.
//
// Decide is the rule; Deduper applies it, keeps the records and forwards calls
// to the instance that may run them.
//
// # What holds
//
// No identity is run by two instances, nor twice by one, and no attempt that
// ran is reported as rejected, under these assumptions:
//
//   - Fresh + lag + Skew + 2 x error <= Margin, where lag is the longest time by
//     which an instance reads an outdated platform list, and error the largest
//     deviation of an instance's clock. Callers' clocks need no bound: an
//     identity more than Skew in the future or older than Window is unknown.
//   - Fleet.Place starts its Since anew after every gap of more than G between
//     two reads of the list, and when the process starts.
//   - A name that the list gives a place stays there, or away from it, for more
//     than G + lag. Two lists that alternate faster than an instance reads them
//     could make two instances believe in their own unbroken place.
//   - At most one process decides under one name and peer address at a time. A
//     process that was replaced may still finish what it decided to run.
//   - All attempts with an identity that carries no time arrive within Window
//     of the first.
//
// With Fresh 10 s, Skew 5 s and Margin 30 s, a lag of 13 s and a clock error of
// 1 s are covered. Issued identities depend on none of this: they need only
// that an incarnation denotes one process.
//
// Why: an instance that runs a call with identity time t believed in its place
// from t - Margin - error until a list not older than t - Skew - error - Fresh -
// lag. Two such intervals overlap, and in the overlap the list would have to
// name both instances.
package deduper
