package watcher

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Table holds one instance's copy of the records. Deleted records stay as
// tombstones, so that followers learn of the deletion. A Table reads no clock and is
// not safe for concurrent use. The exported fields must be set before first use.
type Table struct {
	HoldTime time.Duration         // Time after an outage of the store for which deletions are held; 0 means 2.2s.
	Compare  func(a, b Record) int // Decoder.CompareStates; nil means that all states are equal.
	// IsOrder reports whether a record is an order of the operator, which ends only when its
	// deletion is known, also if a restored store lacks it. nil means that none is.
	IsOrder func(Record) bool

	records        map[string]*tableEntry
	changeLog      []*tableEntry           // Entries in the order of their sequence, including replaced ones.
	heldDeletions  map[string]heldDeletion // Deletions that are applied after holdUntil unless a newer record arrives, by key.
	position       Position                // Position up to which all changes are known.
	sequence       uint64                  // Number of the last change to this table. Revisions cannot tell what a follower lacks, because a held deletion is applied long after its revision.
	gapSequence    uint64                  // Changes up to this number do not tell a follower all that it lacks: they are of another epoch, from before a read of all records, or their tombstones were removed.
	prunedRevision uint64                  // Tombstones up to this revision may be missing.
	loaded         bool                    // Set after the first load of all records.
	provisional    bool                    // All that is known is a stale read.
	confirmedAt    time.Time               // Time at which the records were last known to equal those of the store.
	holdUntil      time.Time               // Time until which deletions are held after an outage.
}

// tableEntry is a record with the number of its last change.
type tableEntry struct {
	Record
	sequence  uint64
	lastValue []byte // Value of the record or, after a deletion, its value before.
	// The store was restored from a copy without this record, which nobody has written
	// again yet.
	missingInCopy bool
}

// heldDeletion is a deletion that waits for the end of the hold time.
type heldDeletion struct {
	Record
	// The revision up to which this table has all changes without the deletion. Its own
	// revision does not tell, because other tables may know the deletion by a lower one.
	appliedRevision uint64
}

const (
	// unboundRevision is the appliedRevision of a deletion that the store does not have or
	// that each first message of a feed repeats.
	unboundRevision = math.MaxUint64
	// defaultHoldTime is longer than the 2 s within which, as the platform states,
	// running backend servers restore their expired records after an outage.
	defaultHoldTime = 2200 * time.Millisecond
	// minOutage is the time without confirmation that counts as an outage of the
	// store. It is longer than an instance that lost all its sources is without one.
	minOutage = 2500 * time.Millisecond
	// maxTombstones bounds the deleted records that are kept for followers.
	maxTombstones = 1024
	// minChangeLog is the number of replaced entries that the log of changes may hold
	// beside as many as there are records.
	minChangeLog = 64
)

// Position returns the position up to which all changes are known; ok is false
// before the first load.
func (t *Table) Position() (p Position, ok bool) { return t.position, t.loaded }

// AppliedPosition returns the position that followers may be told: that up to which all
// changes are applied. It is before Position while deletions are held.
func (t *Table) AppliedPosition() Position {
	p := t.position
	for _, d := range t.heldDeletions {
		p.Revision = min(p.Revision, d.appliedRevision)
	}
	return p
}

// IsAhead reports whether the table, which has only stale records, is ahead of p in the
// epoch of p. Its records are then not those of the store at p.
func (t *Table) IsAhead(p Position) bool {
	return t.provisional && t.position.Epoch == p.Epoch && t.position.Revision > p.Revision
}

// ConfirmedAt returns the time at which the records were last known to equal those
// of the store.
func (t *Table) ConfirmedAt() time.Time { return t.confirmedAt }

// RecordConfirmation records at time now that the store, or an instance that reads
// it, confirmed the records as of confirmedAt. During an outage of the store the
// records of running backend servers may expire and be deleted, so deletions that
// arrive right after an outage are held.
func (t *Table) RecordConfirmation(now, confirmedAt time.Time) {
	if t.loaded && !t.confirmedAt.IsZero() && confirmedAt.Sub(t.confirmedAt) > minOutage {
		t.startHold(now)
	}
	if confirmedAt.After(t.confirmedAt) {
		t.confirmedAt = confirmedAt
	}
}

// startHold begins to hold deletions.
func (t *Table) startHold(now time.Time) {
	hold := t.HoldTime
	if hold == 0 {
		hold = defaultHoldTime
	}
	t.holdUntil = now.Add(hold)
}

// ApplyChanges applies the changes in b and returns the records that changed. Changes
// of another epoch are ignored, and so are records that were deleted since. The position
// moves only if the changes in b begin at or before it.
func (t *Table) ApplyChanges(now time.Time, b Batch) []Record {
	t.init()
	if b.Epoch != t.position.Epoch {
		return nil
	}
	b.Records = slices.DeleteFunc(slices.Clone(b.Records), t.wasDeleted)
	return t.applyBatch(now, b)
}

// wasDeleted reports whether r was deleted up to the known position. The table has all
// records that exist there, also when it never had a tombstone for r.
func (t *Table) wasDeleted(r Record) bool {
	return !r.Deleted && r.Revision <= t.position.Revision && t.records[r.Key] == nil && !t.isKeptOrder(r)
}

// applyBatch applies all records of b and returns those that changed.
func (t *Table) applyBatch(now time.Time, b Batch) []Record {
	var changed []Record
	for _, r := range b.Records {
		if t.applyRecord(now, r) {
			changed = append(changed, r)
		}
	}
	if b.After <= t.position.Revision && b.Revision >= t.position.Revision {
		t.position.Revision = b.Revision
		t.provisional = false // The source has the changes up to this revision.
	}
	t.pruneTombstones()
	return changed
}

// LoadAll applies b, which has all records that exist at its revision, and returns the
// records that changed. Records that b lacks are deleted unless they changed after
// that revision. A batch of an earlier epoch is ignored; one of a later epoch starts it.
// A batch that is behind the table, because it was under way while another source
// delivered changes, only has the changes after the known position. A stale one is of use
// to an empty table alone.
func (t *Table) LoadAll(now time.Time, b Batch) []Record {
	t.init()
	switch {
	case !t.loaded:
		t.position.Epoch = b.Epoch
	case b.Stale, b.Epoch < t.position.Epoch:
		return nil
	case b.Epoch > t.position.Epoch, t.provisional && !b.Stale && b.Revision < t.position.Revision:
		// Stale records ahead of those of the store are from before a restore.
		return t.startEpoch(now, b)
	case b.Revision < t.position.Revision:
		return t.ApplyChanges(now, b)
	}
	listed := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		listed[r.Key] = true
	}
	for key, e := range t.records {
		if !listed[key] && !e.Deleted && !e.missingInCopy && e.Revision <= b.Revision && !t.isKeptOrder(e.Record) {
			b.Records = append(b.Records, Record{Key: key, Revision: max(b.Revision, e.Revision+1), Deleted: true})
		}
	}
	if !t.loaded || b.Revision > t.position.Revision {
		t.startGap(b.Revision)
	}
	changed := t.applyBatch(now, b)
	t.provisional = b.Stale
	t.loaded = true
	return changed
}

// startGap notes that tombstones up to a revision may be missing: a read of all records does
// not show what was written and deleted since the position of the table.
func (t *Table) startGap(revision uint64) {
	t.prunedRevision = max(t.prunedRevision, revision)
	t.sequence++
	t.gapSequence = t.sequence
}

// ApplyHeldDeletions applies the held deletions once the hold time is over and
// returns them.
func (t *Table) ApplyHeldDeletions(now time.Time) []Record {
	if len(t.heldDeletions) == 0 || now.Before(t.holdUntil) {
		return nil
	}
	var changed []Record
	for key, d := range t.heldDeletions {
		if t.records[key].missingInCopy && t.confirmedAt.Before(t.holdUntil) {
			continue // The store is away again, so the writer could not write it.
		}
		delete(t.heldDeletions, key)
		if d.Revision == 0 {
			d.Revision = t.position.Revision // The store never had the deletion.
		}
		t.storeRecord(d.Record)
		changed = append(changed, d.Record)
	}
	return changed
}

// HeldCount returns the number of held deletions.
func (t *Table) HeldCount() int { return len(t.heldDeletions) }

// ChangesSince returns the records that changed after the position after or, when
// sequence is above 0, after the change with that number. It also returns the number
// of the last change. Full is set when the result has all records that exist, and the
// deletions that are later than the position which the receiver is told. The
// receiver may have read a restored store itself, so the result has the records that
// outlive the copy. Those that are missing in it are left to each receiver.
func (t *Table) ChangesSince(after Position, sequence uint64) (records []Record, lastSequence uint64, full bool) {
	if sequence > 0 && sequence >= t.gapSequence {
		first, _ := slices.BinarySearchFunc(t.changeLog, sequence+1, func(e *tableEntry, n uint64) int { return cmp.Compare(e.sequence, n) })
		for _, e := range t.changeLog[first:] {
			if t.records[e.Key] == e {
				records = append(records, e.Record)
			}
		}
	} else {
		full = sequence > 0 || after.Epoch != t.position.Epoch || after.Revision == 0 || after.Revision < t.prunedRevision
		if full {
			after = t.AppliedPosition()
		}
		for _, e := range t.records {
			if e.OutlivesCopy || !e.missingInCopy && (full && !e.Deleted || e.Revision > after.Revision) {
				records = append(records, e.Record)
			}
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return records, t.sequence, full
}

// LiveRecords returns the records that are not deleted, sorted by key.
func (t *Table) LiveRecords() []Record {
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
		t.records, t.heldDeletions = make(map[string]*tableEntry), make(map[string]heldDeletion)
		t.sequence = 1
	}
}

// applyRecord stores r when it is newer than the known record, or holds it when it
// is a deletion right after an outage. It reports whether the records changed.
func (t *Table) applyRecord(now time.Time, r Record) bool {
	previous := t.records[r.Key]
	if previous != nil && !t.isLater(r, previous) {
		return false
	}
	if r.Deleted && now.Before(t.holdUntil) && previous != nil && !previous.Deleted {
		t.holdDeletion(r)
		return false
	}
	if r.Revision >= t.heldDeletions[r.Key].Revision {
		delete(t.heldDeletions, r.Key)
	}
	r.OutlivesCopy = r.OutlivesCopy || previous != nil && previous.Revision == r.Revision
	t.storeRecord(r)
	return previous != nil || !r.Deleted
}

// holdDeletion holds r until the hold time is over, or the later one of r and a held
// deletion of the same record.
func (t *Table) holdDeletion(r Record) {
	d := heldDeletion{r, unboundRevision}
	if r.Revision > 0 && !r.OutlivesCopy {
		d.appliedRevision = min(t.position.Revision, r.Revision-1)
	}
	if held, ok := t.heldDeletions[r.Key]; ok {
		d.appliedRevision = min(d.appliedRevision, held.appliedRevision)
		if held.Revision > r.Revision {
			d.Record = held.Record
		}
	}
	t.heldDeletions[r.Key] = d
}

// isLater reports whether r is a later state than previous. At the same revision one of
// them is from a restored copy of the store, and the other one is what an instance knew
// before the restore.
func (t *Table) isLater(r Record, previous *tableEntry) bool {
	switch {
	case r.Revision != previous.Revision:
		return r.Revision > previous.Revision
	case r.Deleted || previous.Deleted:
		return r.Deleted && !previous.Deleted
	}
	return t.compareStates(r, previous) > 0
}

// compareStates compares r with the last value of e by the counters of their writer.
func (t *Table) compareStates(r Record, e *tableEntry) int {
	if t.Compare == nil {
		return 0
	}
	return t.Compare(r, Record{Key: r.Key, Value: e.lastValue})
}

// storeRecord replaces the record with the key of r and returns its entry.
func (t *Table) storeRecord(r Record) *tableEntry {
	t.sequence++
	e := &tableEntry{Record: r, sequence: t.sequence, lastValue: r.Value}
	if previous := t.records[r.Key]; r.Deleted && previous != nil {
		e.lastValue = previous.lastValue
	}
	t.records[r.Key] = e
	t.changeLog = append(t.changeLog, e)
	if len(t.changeLog) > 2*len(t.records)+minChangeLog {
		t.changeLog = slices.DeleteFunc(t.changeLog, func(e *tableEntry) bool { return t.records[e.Key] != e })
	}
	return e
}

// pruneTombstones removes the older half of the tombstones when there are too many.
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
		t.gapSequence = max(t.gapSequence, e.sequence)
	}
}
