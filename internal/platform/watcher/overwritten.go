package watcher

import (
	"time"

	"sardinelever.example/sardinelever/internal/platform/reader"
)

// overwriteHold is the time for which a backend server stays in the list after another
// writer has replaced its record by a value that describes no server, or one of another
// service. A server that runs writes its record again within it: the platform takes one that
// does not for gone.
const overwriteHold = 4500 * time.Millisecond

// heldEntry is the entry of a record before it was overwritten.
type heldEntry struct {
	reader.Entry
	until time.Time // Zero if no entry is held.
}

// holdOverwritten returns the entry to hold when the record of previous changes to that of
// next, or to one that describes no server if ok is false. Values that follow do not extend
// the time.
func holdOverwritten(now time.Time, previous decodedEntry, next reader.Entry, ok bool) heldEntry {
	switch held := previous.held; {
	case !held.until.IsZero() && ok && next.Service == held.Service:
		return heldEntry{} // The server has written its record again.
	case !held.until.IsZero():
		return held
	case previous.ok && (!ok || next.Service != previous.entry.Service):
		return heldEntry{previous.entry, now.Add(overwriteHold)}
	}
	return heldEntry{}
}

// endHold removes the held entry of the record with the given key once its time is over. The
// caller must hold w.updateMu.
func (w *Watcher) endHold(now time.Time, key string, d decodedEntry) decodedEntry {
	switch {
	case d.held.until.IsZero():
	case !now.Before(d.held.until):
		d.held = heldEntry{}
		w.decodedEntries[key] = d
		w.Log.Warn().Str("key", key).Msg("platform: server whose record was overwritten is no longer used")
	case w.nextHoldEnd.IsZero() || d.held.until.Before(w.nextHoldEnd):
		w.nextHoldEnd = d.held.until
	}
	return d
}

// expireOverwritten publishes the list again when the hold of an overwritten record is over.
func (w *Watcher) expireOverwritten() {
	w.updateMu.Lock()
	defer w.updateMu.Unlock()
	if w.nextHoldEnd.IsZero() || time.Now().Before(w.nextHoldEnd) {
		return
	}
	w.mu.Lock()
	live, position := w.table.LiveRecords(), w.table.position
	w.mu.Unlock()
	w.publishChanges(position.Revision, live, nil)
}
