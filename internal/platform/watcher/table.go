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

	records   map[string]*entry
	held      map[string]Record // Deletions that wait for the end of holding.
	at        uint64
	sequence  uint64 // Counts changes here; a held deletion takes effect long after its revision.
	floor     uint64 // Tombstones up to this revision are forgotten.
	loaded    bool
	confirmed time.Time // Time at which the records were those of the store.
	holding   time.Time // End of holding after an outage.
}

type entry struct {
	Record
	sequence uint64
}

const (
	// defaultHold exceeds the 2 s within which the platform states that lapsed
	// records of living backend servers are back after an outage.
	defaultHold = 2200 * time.Millisecond
	// outage is the time without confirmation that counts as an outage of the
	// store: longer than the loss of all sources of one instance.
	outage = 2500 * time.Millisecond
	// maxTombstones bounds the deleted records that are remembered for followers.
	maxTombstones = 1024
)

// At returns the revision up to which the records are known; ok is false before
// the first load.
func (t *Table) At() (at uint64, ok bool) { return t.at, t.loaded }

// Confirmed returns the time at which the records were those of the store.
func (t *Table) Confirmed() time.Time { return t.confirmed }

// Confirm notes at now that the store, or an instance that reads it, confirmed
// the records as of time. Lapsed records may be deleted during an outage of the
// store, so deletions that are read right after one wait.
func (t *Table) Confirm(now, as time.Time) {
	if t.loaded && !t.confirmed.IsZero() && as.Sub(t.confirmed) > outage {
		hold := t.Hold
		if hold == 0 {
			hold = defaultHold
		}
		t.holding = now.Add(hold)
	}
	if as.After(t.confirmed) {
		t.confirmed = as
	}
}

// Apply takes the changes of b in and returns the records that changed.
func (t *Table) Apply(now time.Time, b Batch) []Record {
	t.init()
	var changed []Record
	for _, r := range b.Records {
		if t.put(now, r) {
			changed = append(changed, r)
		}
	}
	t.at = max(t.at, b.At)
	t.prune()
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
	if len(t.held) == 0 || now.Before(t.holding) {
		return nil
	}
	var changed []Record
	for key, r := range t.held {
		delete(t.held, key)
		r.Revision = max(r.Revision, t.at)
		t.store(r)
		changed = append(changed, r)
	}
	return changed
}

// Held returns the number of deletions that wait.
func (t *Table) Held() int { return len(t.held) }

// Since returns the records that changed after a revision, or after the change
// numbered sequence when that is above 0, and the number of the last change.
// Full is set when the records are all there are.
func (t *Table) Since(after, sequence uint64) (records []Record, last uint64, full bool) {
	full = sequence == 0 && (after == 0 || after < t.floor)
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
		t.records, t.held = make(map[string]*entry), make(map[string]Record)
		t.sequence = 1
	}
}

func (t *Table) put(now time.Time, r Record) bool {
	old := t.records[r.Key]
	if old != nil && old.Revision >= r.Revision {
		return false
	}
	if r.Deleted && now.Before(t.holding) && old != nil && !old.Deleted {
		t.held[r.Key] = r
		return false
	}
	delete(t.held, r.Key)
	t.store(r)
	return old != nil || !r.Deleted
}

func (t *Table) store(r Record) {
	t.sequence++
	t.records[r.Key] = &entry{r, t.sequence}
}

// prune forgets the oldest tombstones.
func (t *Table) prune() {
	var dead []*entry
	for _, e := range t.records {
		if e.Deleted {
			dead = append(dead, e)
		}
	}
	if len(dead) <= maxTombstones {
		return
	}
	slices.SortFunc(dead, func(a, b *entry) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, e := range dead[:len(dead)/2] {
		delete(t.records, e.Key)
		t.floor = max(t.floor, e.Revision)
	}
}
