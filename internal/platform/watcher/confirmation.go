package watcher

import "time"

// PublishedAt returns the time as of which the list and the bundle that were published
// are those of the store, or the zero time. Unlike that of ConfirmedAt, the result
// covers no records whose publication has not ended.
func (w *Watcher) PublishedAt() time.Time {
	w.updateMu.Lock()
	defer w.updateMu.Unlock()
	return w.ConfirmedAt()
}
