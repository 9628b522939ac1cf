// Package watcher follows the records that a platform publishes: the
// configuration and the backend servers. Few instances read the platform; the
// others follow one of them.
//
// The state is a set of records, each with the revision of its last change, and
// the revision up to which all of them are known. Records only move to higher
// revisions, so sources may be mixed freely.
package watcher
