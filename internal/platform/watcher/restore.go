package watcher

import (
	"bytes"
	"time"
)

// startEpoch takes over b, all records of a store that was restored from a copy, and
// returns the records that changed. The copy lacks the last changes before the restore.
// Their writers write them again, but a server that has left does not, so what this table
// knows beyond the copy stays:
//
//   - a state that its writer counts as later than that of the copy, or a deletion of the
//     state in the copy, until the record is written again;
//   - a record that the copy lacks, for HoldTime or until it is written again;
//   - an order that the copy lacks, until a deletion that is later than the restore.
//
// An order that the copy has is in force although its deletion was known before: the
// operator finds it in the store and can delete it again.
func (t *Table) startEpoch(now time.Time, b Batch) []Record {
	known, held := t.records, t.heldDeletions
	t.records, t.heldDeletions, t.changeLog = make(map[string]*tableEntry), make(map[string]heldDeletion), nil
	t.position, t.prunedRevision, t.provisional = Position{b.Epoch, b.Revision}, 0, false
	t.startGap(b.Revision)
	t.startHold(now)
	var changed []Record
	for _, r := range b.Records {
		if t.records[r.Key] != nil {
			continue // The batch names each key once.
		}
		e := known[r.Key]
		delete(known, r.Key)
		if t.mergeCopied(r, e) {
			changed = append(changed, r)
		} else if !r.Deleted && t.isOrder(r) {
			continue
		} else if _, ok := held[r.Key]; ok && !e.missingInCopy || r.Deleted && e != nil && !e.Deleted {
			d := heldDeletion{Record{Key: r.Key, Revision: r.Revision, Deleted: true, OutlivesCopy: true}, unboundRevision}
			if r.Revision > b.Revision {
				d.appliedRevision = b.Revision
			}
			t.heldDeletions[r.Key] = d
		}
	}
	for key, e := range known {
		if e.Deleted {
			t.storeRecord(Record{Key: key, Deleted: true}).lastValue = e.lastValue // The next copy may have it.
			continue
		}
		if t.isOrder(e.Record) {
			// Any deletion or change in this epoch is later than revision 0.
			t.storeRecord(Record{Key: key, Value: e.Value, OutlivesCopy: true})
			continue
		}
		t.storeRecord(Record{Key: key, Value: e.Value}).missingInCopy = true
		t.heldDeletions[key] = heldDeletion{Record{Key: key, Deleted: true}, unboundRevision}
	}
	return changed
}

// mergeCopied stores the later one of r, a record of a restored store, and e, which was
// known before and may be nil. It reports whether that changed the record. If r is a
// deletion that another instance knows of, e stays, and the caller holds the deletion.
func (t *Table) mergeCopied(r Record, e *tableEntry) (changed bool) {
	switch {
	case e == nil:
		t.storeRecord(r)
		return !r.Deleted
	case !r.Deleted && t.isOrder(r):
		t.storeRecord(r)
		return e.Deleted || !bytes.Equal(e.Value, r.Value)
	case r.Deleted, t.compareStates(r, e) < 0, e.Deleted && t.compareStates(r, e) == 0:
		kept := Record{Key: r.Key, Value: e.Value, Revision: r.Revision, Deleted: e.Deleted, OutlivesCopy: !r.Deleted || e.Deleted}
		t.storeRecord(kept).lastValue = e.lastValue
		return false
	}
	t.storeRecord(r)
	return e.Deleted || !bytes.Equal(e.Value, r.Value)
}
