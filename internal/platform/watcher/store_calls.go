package watcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/flow/sleeper"
	"sardinelever.example/sardinelever/internal/instance/detector"
)

// loadFirstRecords reads the records of an instance that starts, unless another
// instance delivers them first. In a fleet that starts as a whole, only the instances
// that others follow read more than the first page.
func (w *Watcher) loadFirstRecords(ctx context.Context) {
	deadline := time.Now()
	if w.Bootstrap {
		deadline = deadline.Add(bootstrapWait)
	}
	w.loadRecords(ctx, true, func() bool {
		for time.Now().Before(deadline) && !w.isCandidate() && !w.isLoaded() {
			sleeper.Sleep(ctx, sourceCheckPeriod)
		}
		return !w.isLoaded() && ctx.Err() == nil
	})
}

// isLoaded reports whether all records were loaded.
func (w *Watcher) isLoaded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, loaded := w.table.Position()
	return loaded
}

// isCandidate reports whether others are to follow this instance, as far as it knows
// them.
func (w *Watcher) isCandidate() bool {
	members, now := w.Fleet.UsableMembers("", w.Region), time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	return !now.Before(w.peersExpectedBy) && slices.Contains(w.sourceNamesAt(members, now), w.Name)
}

// loadRecords reads all records from the store, page by page, and reports whether it
// did. It stops without effect when proceed, which is called between the pages, returns
// false. A stale result does not count as confirmed by the store.
func (w *Watcher) loadRecords(ctx context.Context, stale bool, proceed func() bool) bool {
	start := time.Now()
	var all Batch
	for after := ""; ; {
		page, err := w.readPage(ctx, after, stale)
		if w.handleCallResult(ctx, err, rangeCall) {
			return false
		}
		if after == "" {
			all.Revision, all.Epoch, all.Stale = page.Revision, page.Epoch, stale
		}
		// A watch from the revision of the oldest page also has what changed between the
		// pages. That is the first page, unless they come from different copies.
		all.Revision = min(all.Revision, page.Revision)
		if page.Epoch != all.Epoch {
			w.Log.Warn().Uint64("epoch", page.Epoch).Msg("platform: store was restored between two pages; reading them again")
			return false
		}
		all.Records = append(all.Records, page.Records...)
		if after = page.Next; after == "" {
			break
		}
		if !proceed() {
			return false
		}
	}
	confirmedBy := w.Name
	if stale {
		confirmedBy = ""
	}
	known := w.Position()
	var changed []Record
	w.updateTable(confirmation{start, confirmedBy, all.Epoch}, func(now time.Time) []Record {
		changed = w.table.LoadAll(now, all)
		return changed
	})
	w.Log.Info().Uint64("epoch", all.Epoch).Uint64("at", all.Revision).Uint64("known", known.Revision).Uint64("revision", w.Revision()).
		Int("records", len(all.Records)).Int("changed", len(changed)).Bool("stale", stale).Msg("platform: all records read from the store")
	return true
}

func (w *Watcher) readPage(ctx context.Context, after string, stale bool) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	w.callCount.Add(1)
	return w.Store.ReadPage(ctx, after, stale)
}

// watchStore waits once, for at most timeout, for changes in the store and applies them.
// It reports whether the store responded.
func (w *Watcher) watchStore(ctx context.Context, timeout time.Duration) bool {
	watchCtx, cancel := context.WithTimeout(ctx, timeout+watchResponseMargin)
	defer cancel()
	known, start := w.Position(), time.Now()
	w.callCount.Add(1)
	b, err := w.Store.Watch(watchCtx, known.Revision, timeout)
	switch {
	case errors.Is(err, ErrCompacted):
		w.Log.Warn().Uint64("epoch", known.Epoch).Uint64("after", known.Revision).Msg("platform: store does not have the changes; reading all records again")
		if !w.loadRecords(ctx, false, func() bool { return ctx.Err() == nil }) {
			return false
		}
		// A store that is as far as before and still lacks the changes is out of order.
		return w.Position() != known || !w.handleCallResult(ctx, err, watchCall)
	case err == nil && b.Epoch > known.Epoch:
		w.Log.Warn().Uint64("epoch", b.Epoch).Uint64("before", known.Epoch).Uint64("after", known.Revision).
			Msg("platform: store was restored; reading all records again")
		return w.loadRecords(ctx, false, func() bool { return ctx.Err() == nil })
	}
	if w.handleCallResult(ctx, err, watchCall) {
		return false
	}
	b.After = known.Revision
	c := confirmation{time.Now(), w.Name, b.Epoch}
	switch took := detector.Elapsed(start, c.at); {
	case took > 2*(timeout+watchResponseMargin):
		c.by = "" // The process stood still; the store may have answered long ago.
	case took > timeout+watchResponseMargin:
		c.at = start // The response took long to arrive.
	}
	w.updateTable(c, func(now time.Time) []Record { return w.table.ApplyChanges(now, b) })
	if len(b.Records) > 0 {
		sleeper.Sleep(ctx, watchSpacing)
	}
	return true
}

// Calls to the store in log lines.
const (
	rangeCall = "range"
	watchCall = "watch"
)

// handleCallResult updates the backoff after a call to the store, logs when calls
// begin or cease to fail and reports whether this call failed.
func (w *Watcher) handleCallResult(ctx context.Context, err error, call string) bool {
	if err == nil {
		if w.storeFailing.Swap(false) {
			w.Log.Info().Uint64("revision", w.Revision()).Msg("platform: store responds again")
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.nextStoreCall = time.Time{}
		if call == watchCall {
			w.retryDelay = 0 // Reads of all records may succeed while each watch fails.
		}
		return false
	}
	if ctx.Err() != nil {
		return true
	}
	if !w.storeFailing.Swap(true) {
		w.Log.Warn().Str("call", call).Err(err).Uint64("revision", w.Revision()).Dur("age", time.Since(w.ConfirmedAt())).
			Msg("platform: store does not respond to this instance; following other instances")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*w.retryDelay))
	now := time.Now()
	w.nextStoreCall = now.Add(w.retryDelay/2 + rand.N(w.retryDelay/2+1))
	if now.After(w.storeCallBy) {
		w.postponeStoreCall(now, len(w.Fleet.UsableMembers("", w.Region)))
	}
	w.notifyFollowers() // Followers must look for another source at once.
	return true
}
