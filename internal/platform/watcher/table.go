package watcher

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Table holds the records as one instance knows them. It reads no clock and is
// not safe for concurrent use. Hold is set before first use.
type Table struct {
	Hold time.Duration // Time after an outage for which deletions wait; 0 means 2.2s.

	records        map[string]*tableEntry
	heldDeletions  map[string]Record // Deletions that wait for the end of holding.
	revision       uint64
	sequence       uint64 // Counts changes here; a held deletion takes effect long after its revision.
	prunedRevision uint64 // Tombstones up to this revision are forgotten.
	loaded         bool
	confirmedAt    time.Time // Time at which the records were those of the store.
	holdUntil      time.Time // End of holding after an outage.
}

type tableEntry struct {
	Record
	sequence uint64
}

const (
	// defaultHoldTime exceeds the 2 s within which the platform states that lapsed
	// records of living backend servers are back after an outage.
	defaultHoldTime = 2200 * time.Millisecond
	// minOutage is the time without confirmation that counts as an outage of the
	// store: longer than the loss of all sources of one instance.
	minOutage = 2500 * time.Millisecond
	// maxTombstones bounds the deleted records that are remembered for followers.
	maxTombstones = 1024
)

// At returns the revision up to which the records are known; ok is false before
// the first load.
func (t *Table) At() (revision uint64, ok bool) { return t.revision, t.loaded }

// Confirmed returns the time at which the records were those of the store.
func (t *Table) Confirmed() time.Time { return t.confirmedAt }

// Confirm notes at now that the store, or an instance that reads it, confirmed
// the records as of time. Lapsed records may be deleted during an outage of the
// store, so deletions that are read right after one wait.
func (t *Table) Confirm(now, confirmedAt time.Time) {
	if t.loaded && !t.confirmedAt.IsZero() && confirmedAt.Sub(t.confirmedAt) > minOutage {
		hold := t.Hold
		if hold == 0 {
			hold = defaultHoldTime
		}
		t.holdUntil = now.Add(hold)
	}
	if confirmedAt.After(t.confirmedAt) {
		t.confirmedAt = confirmedAt
	}
}

// Apply takes the changes of b in and returns the records that changed.
func (t *Table) Apply(now time.Time, b Batch) []Record {
	t.init()
	var changed []Record
	for _, r := range b.Records {
		if t.applyRecord(now, r) {
			changed = append(changed, r)
		}
	}
	t.revision = max(t.revision, b.At)
	t.pruneTombstones()
	return changed
}

// Load takes in b as all records there are at its revision: others whose last
// change is not newer are deleted.
func (t *Table) Load(now time.Time, b Batch) []Record {
	t.init()
	listed := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		listed[r.Key] = true
	}
	for key, e := range t.records {
		if !listed[key] && !e.Deleted && e.Revision <= b.At {
			b.Records = append(b.Records, Record{Key: key, Revision: max(b.At, e.Revision+1), Deleted: true})
		}
	}
	changed := t.Apply(now, b)
	t.loaded = true
	return changed
}

// Expire applies the deletions whose wait has ended.
func (t *Table) Expire(now time.Time) []Record {
	if len(t.heldDeletions) == 0 || now.Before(t.holdUntil) {
		return nil
	}
	var changed []Record
	for key, r := range t.heldDeletions {
		delete(t.heldDeletions, key)
		r.Revision = max(r.Revision, t.revision)
		t.storeRecord(r)
		changed = append(changed, r)
	}
	return changed
}

// Held returns the number of deletions that wait.
func (t *Table) Held() int { return len(t.heldDeletions) }

// Since returns the records that changed after a revision, or after the change
// numbered sequence when that is above 0, and the number of the last change.
// Full is set when the records are all there are.
func (t *Table) Since(after, sequence uint64) (records []Record, lastSequence uint64, full bool) {
	full = sequence == 0 && (after == 0 || after < t.prunedRevision)
	for _, e := range t.records {
		switch {
		case full && e.Deleted:
		case full, sequence > 0 && e.sequence > sequence, sequence == 0 && e.Revision > after:
			records = append(records, e.Record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return records, t.sequence, full
}

// Live returns the records that are not deleted, sorted by key.
func (t *Table) Live() []Record {
	var out []Record
	for _, key := range slices.Sorted(maps.Keys(t.records)) {
		if e := t.records[key]; !e.Deleted {
			out = append(out, e.Record)
		}
	}
	return out
}

func (t *Table) init() {
	if t.records == nil {
		t.records, t.heldDeletions = make(map[string]*tableEntry), make(map[string]Record)
		t.sequence = 1
	}
}

func (t *Table) applyRecord(now time.Time, r Record) bool {
	previous := t.records[r.Key]
	if previous != nil && previous.Revision >= r.Revision {
		return false
	}
	if r.Deleted && now.Before(t.holdUntil) && previous != nil && !previous.Deleted {
		t.heldDeletions[r.Key] = r
		return false
	}
	delete(t.heldDeletions, r.Key)
	t.storeRecord(r)
	return previous != nil || !r.Deleted
}

func (t *Table) storeRecord(r Record) {
	t.sequence++
	t.records[r.Key] = &tableEntry{r, t.sequence}
}

// pruneTombstones forgets the oldest tombstones.
func (t *Table) pruneTombstones() {
	var tombstones []*tableEntry
	for _, e := range t.records {
		if e.Deleted {
			tombstones = append(tombstones, e)
		}
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	slices.SortFunc(tombstones, func(a, b *tableEntry) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, e := range tombstones[:len(tombstones)/2] {
		delete(t.records, e.Key)
		t.prunedRevision = max(t.prunedRevision, e.Revision)
	}
}
