package watcher

import (
	"strconv"
	"time"

	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

// publishChanges passes changed bundles to BundleSink and publishes the list of backend
// servers. The caller must hold w.updateMu.
func (w *Watcher) publishChanges(revision uint64, live, changed []Record) {
	for _, r := range changed {
		if d, known := w.decodedEntries[r.Key]; known && !r.Deleted {
			d.changed = true
			w.decodedEntries[r.Key] = d
		} else {
			delete(w.decodedEntries, r.Key)
		}
	}
	orders := w.evacuations
	list := &reader.List{Time: time.Now(), Entries: w.decodeEntries(live), Evacuated: w.decodeEvacuations(live)}
	for _, r := range changed {
		if _, isOrder := orders[r.Key]; r.Deleted && isOrder {
			continue // Package withholder records the end of the evacuation.
		}
		if r.Deleted {
			w.auditRecord(r.Key, "deleted", revision)
			continue
		}
		w.offerBundle(r)
	}
	w.latestList.Store(list)
	if w.OnChange != nil {
		w.OnChange(list)
	}
}

// decodeEntries returns the backend servers in records, and those whose records were
// overwritten shortly before. Several of them can have one address: nothing in the records
// tells which of them is there.
func (w *Watcher) decodeEntries(records []Record) []reader.Entry {
	var out []reader.Entry
	now := time.Now()
	w.nextHoldEnd = time.Time{}
	for _, r := range records {
		d := w.endHold(now, r.Key, w.decodeEntry(now, r))
		if d.ok {
			out = append(out, d.entry)
		}
		if !d.held.until.IsZero() {
			out = append(out, d.held.Entry)
		}
	}
	return out
}

// decodeEntry returns what r says of a backend server, decoded once for each change, and
// records each new one in the audit trail.
func (w *Watcher) decodeEntry(now time.Time, r Record) decodedEntry {
	d, known := w.decodedEntries[r.Key]
	if known && !d.changed {
		return d
	}
	e, ok, err := w.Decoder.DecodeEntry(r)
	w.logMalformed(r, err)
	d = decodedEntry{entry: e, ok: ok, held: holdOverwritten(now, d, e, ok)}
	w.decodedEntries[r.Key] = d
	if ok {
		state := "ready"
		if e.Leaving {
			state = "leaving"
		}
		w.auditRecord(r.Key, state+" at "+e.Address.String()+" for "+e.Service, r.Revision)
	}
	return d
}

// offerBundle passes the bundle in r, if any, to BundleSink.
func (w *Watcher) offerBundle(r Record) {
	text := w.Decoder.BundleText(r)
	if text == nil {
		return
	}
	changed, err := w.BundleSink.OfferBundle(text, "platform")
	w.bundleRefused.Store(err != nil)
	switch {
	case err != nil:
		w.Log.Error().Err(err).Uint64("revision", r.Revision).Msg("config: bundle rejected; the active one stays")
	case changed:
		w.Log.Info().Uint64("revision", r.Revision).Msg("config: bundle accepted from the platform")
	}
}

// logMalformed logs a record that cannot be decoded, once for each key. The number
// of logged keys is bounded.
func (w *Watcher) logMalformed(r Record, err error) {
	if err == nil {
		return
	}
	if len(w.malformedKeys) < maxTombstones && !w.malformedKeys[r.Key] {
		w.malformedKeys[r.Key] = true
		w.Log.Warn().Str("key", r.Key).Uint64("revision", r.Revision).Err(err).Msg("platform: malformed record ignored")
	}
}

func (w *Watcher) auditRecord(key, after string, revision uint64) {
	w.Audit.RecordChange(auditor.Change{
		Component: "platform", Subject: key, Cause: "record of revision " + strconv.FormatUint(revision, 10), Before: "-", After: after,
	})
}
