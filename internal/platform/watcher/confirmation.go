package watcher

import "time"

// HasRefusedBundle reports whether the bundle in the records was refused, so that another one is
// in force than the store has.
func (w *Watcher) HasRefusedBundle() bool { return w.bundleRefused.Load() }

// PublishedAt returns the time as of which the list and the bundle that were published
// are those of the store, or the zero time. Unlike that of ConfirmedAt, the result
// covers no records whose publication has not ended.
func (w *Watcher) PublishedAt() time.Time {
	w.updateMu.Lock()
	defer w.updateMu.Unlock()
	return w.ConfirmedAt()
}
