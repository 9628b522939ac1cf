// Package watcher keeps a copy of the platform's records, which hold the
// configuration and the backend servers. A few instances of a region read the
// records from the platform's store; the others receive them from those instances
// over a stream, the feed.
//
// The copy is a set of records, each with the revision of its last change, and the
// revision up to which all changes are known. A record is only ever replaced by one
// with a higher revision, so changes from several sources may arrive in any order.
//
// The records of a copy are those of the store at its position, except those that it knows
// to have changed since. All that is sent and applied keeps this: the position moves only
// over changes that begin at it, changes are sent only from where their sender knows every
// deletion, and followers are told no position past what is applied (Table.AppliedPosition).
//
// A store that is restored from a copy loses its last changes and gives out their
// revisions again. It states how often that happened, its epoch; revisions are compared
// within one epoch only. With a later epoch all records are read again, and what was
// known beyond the copy stays until it is written again (Table.startEpoch).
//
// Sources decides who follows whom: in a small region all follow the two instances
// that read the store; in a large one two relays in each zone do, and the others of the
// zone follow the relays. A sourceReader reads from one source; each instance runs two.
//
// A feed starts with a message Subscribe that has the revision known to the
// follower and its epoch. Each message Feed that follows has the changes since the one before,
// the revision up to which they are complete and applied (At), the time in nanoseconds since
// the store confirmed that (Age) and the instance to which it did (Reader). A standby
// feed has no changes; its follower subscribes to them when At is ahead of what it knows.
// Many records go ahead of their message in pieces, which are parts of their deflated form.
package watcher
