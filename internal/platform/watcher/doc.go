// Package watcher keeps a copy of the platform's records, which hold the
// configuration and the backend servers. A few instances of a region read the
// records from the platform's store; the others receive them from those instances
// over a stream, the feed.
//
// The copy is a set of records, each with the revision of its last change, and the
// revision up to which all changes are known. A record is only ever replaced by one
// with a higher revision, so changes from several sources may arrive in any order.
//
// A feed starts with a message Subscribe that has the revision known to the
// follower. Each message Feed that follows has the changes since the one before,
// the revision up to which they are complete (At) and the time in nanoseconds since
// the store confirmed that (Age).
package watcher
