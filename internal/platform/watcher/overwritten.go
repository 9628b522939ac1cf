package watcher

import "time"

// overwriteHold is the time for which a backend server stays in the list after another
// writer has replaced its record by a value that describes no server. A server that runs
// writes its record again within it: the platform takes one that does not for gone.
const overwriteHold = 4500 * time.Millisecond

// keepOverwritten returns the entry to use for a record whose value cannot be decoded;
// previous is that of the value before.
func keepOverwritten(now time.Time, previous decodedEntry) decodedEntry {
	if !previous.ok {
		return decodedEntry{}
	}
	if previous.heldUntil.IsZero() {
		previous.heldUntil = now.Add(overwriteHold)
	}
	previous.changed = false
	return previous
}

// endHold removes the entry in d from the list once its hold is over. The caller must hold
// w.updateMu.
func (w *Watcher) endHold(now time.Time, key string, d decodedEntry) decodedEntry {
	switch {
	case d.heldUntil.IsZero():
	case !now.Before(d.heldUntil):
		d = decodedEntry{}
		w.decodedEntries[key] = d
		w.Log.Warn().Str("key", key).Msg("platform: server whose record was overwritten is no longer used")
	case w.nextHoldEnd.IsZero() || d.heldUntil.Before(w.nextHoldEnd):
		w.nextHoldEnd = d.heldUntil
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
