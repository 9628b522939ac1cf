package watcher_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinelever.example/sardinelever/internal/platform/watcher"
)

var startTime = time.Unix(1000, 0)

func newRecord(key string, revision uint64) watcher.Record {
	return watcher.Record{Key: key, Value: []byte(key), Revision: revision}
}

func newDeletion(key string, revision uint64) watcher.Record {
	return watcher.Record{Key: key, Revision: revision, Deleted: true}
}

func newLoadedTable(records ...watcher.Record) *watcher.Table {
	t := new(watcher.Table)
	t.LoadAll(startTime, watcher.Batch{Records: records, Revision: 10})
	t.RecordConfirmation(startTime, startTime)
	return t
}

func liveKeys(t *watcher.Table) string {
	s := ""
	for _, r := range t.LiveRecords() {
		s += r.Key
	}
	return s
}

// TestChangeOrder guards against an older change that replaces a newer one: changes may
// arrive in any order, and after each one those with the highest revisions must remain.
func TestChangeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, newest := new(watcher.Table), make(map[string]watcher.Record)
		table.LoadAll(startTime, watcher.Batch{})
		keys := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 30, 30).Draw(t, "keys")
		delivered := make(map[uint64]bool)
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			revision := rapid.Uint64Range(1, 30).Draw(t, "revision")
			r := newRecord(keys[revision-1], revision)
			r.Deleted = revision%3 == 0 // Derived from the revision, because a revision is always the same change.
			if r.Revision > newest[r.Key].Revision {
				newest[r.Key] = r
			}
			delivered[revision] = true
			complete := uint64(0)
			for delivered[complete+1] {
				complete++
			}
			table.ApplyChanges(startTime, watcher.Batch{Records: []watcher.Record{r}, Revision: complete})
			want := ""
			for _, k := range []string{"a", "b", "c"} {
				if r := newest[k]; r.Revision > 0 && !r.Deleted {
					want += k
				}
			}
			if got := liveKeys(table); got != want {
				t.Fatalf("got %q after revision %d, want %q", got, revision, want)
			}
		}
	})
}

// TestLoadDeletesMissing guards against a deletion that is never noticed because it
// happened before a read of all records or between its pages.
func TestLoadDeletesMissing(t *testing.T) {
	table := newLoadedTable(newRecord("a", 1), newRecord("b", 2), newRecord("new", 12))
	table.LoadAll(startTime, watcher.Batch{Records: []watcher.Record{newRecord("a", 1)}, Revision: 11})
	if got, want := liveKeys(table), "anew"; got != want {
		t.Errorf("got %q, want %q: b is gone, new is later than the read", got, want)
	}
}

// TestHoldAfterOutage guards against the removal of running backend servers whose
// records expired during an outage of the store, and against stopped ones that are kept.
func TestHoldAfterOutage(t *testing.T) {
	table := newLoadedTable(newRecord("a", 1), newRecord("b", 2))
	outageEnd := startTime.Add(6 * time.Second)
	table.RecordConfirmation(outageEnd, outageEnd)
	table.ApplyChanges(outageEnd, watcher.Batch{Records: []watcher.Record{newDeletion("a", 11), newDeletion("b", 12)}, Revision: 12})
	if got, want := liveKeys(table), "ab"; got != want {
		t.Fatalf("got %q right after the outage, want %q", got, want)
	}
	table.ApplyChanges(outageEnd.Add(time.Second), watcher.Batch{Records: []watcher.Record{newRecord("a", 13)}, Revision: 13})
	if changed := table.ApplyHeldDeletions(outageEnd.Add(2 * time.Second)); len(changed) != 0 {
		t.Errorf("got %d changes within the 2 s of the platform, want 0", len(changed))
	}
	table.ApplyHeldDeletions(outageEnd.Add(3 * time.Second))
	if got, want := liveKeys(table), "a"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestNoHoldWithoutOutage guards against a deletion that is held without an outage.
func TestNoHoldWithoutOutage(t *testing.T) {
	table := newLoadedTable(newRecord("a", 1))
	table.RecordConfirmation(startTime.Add(time.Second), startTime.Add(time.Second))
	table.ApplyChanges(startTime.Add(time.Second), watcher.Batch{Records: []watcher.Record{newDeletion("a", 11)}, Revision: 11})
	if got := liveKeys(table); got != "" {
		t.Errorf("got %q, want none", got)
	}
}

// TestChangesSince guards against a follower that misses a change, in particular a held
// deletion, which is applied long after its revision.
func TestChangesSince(t *testing.T) {
	table := newLoadedTable(newRecord("a", 1), newRecord("b", 2))
	if records, _, full := table.ChangesSince(watcher.Position{}, 0); !full || len(records) != 2 {
		t.Errorf("got %d records, all: %v, want 2 and true for a new follower", len(records), full)
	}
	_, lastSequence, full := table.ChangesSince(watcher.Position{Revision: 10}, 0)
	if full {
		t.Error("got all records for a follower of revision 10, want changes")
	}
	outageEnd := startTime.Add(6 * time.Second)
	table.RecordConfirmation(outageEnd, outageEnd)
	table.ApplyChanges(outageEnd, watcher.Batch{Records: []watcher.Record{newDeletion("a", 11)}, Revision: 11})
	if records, _, _ := table.ChangesSince(watcher.Position{Revision: 10}, lastSequence); len(records) != 0 {
		t.Errorf("got %d records while the deletion waits, want 0", len(records))
	}
	table.ApplyHeldDeletions(outageEnd.Add(3 * time.Second))
	records, _, _ := table.ChangesSince(watcher.Position{Revision: 10}, lastSequence)
	if len(records) != 1 || !records[0].Deleted {
		t.Errorf("got %v, want the deletion of a", records)
	}
}

// TestManyDeletions guards against a follower that misses deletions, because so many came
// at once that some of their tombstones were removed before they were sent.
func TestManyDeletions(t *testing.T) {
	const n = 3000
	var records, deletions []watcher.Record
	for i := range uint64(n) {
		key := fmt.Sprintf("s%04d ", i)
		records, deletions = append(records, newRecord(key, i+1)), append(deletions, newDeletion(key, n+i+1))
	}
	source, follower := new(watcher.Table), new(watcher.Table)
	for _, table := range []*watcher.Table{source, follower} {
		table.LoadAll(startTime, watcher.Batch{Records: records, Revision: n})
	}
	_, sequence, _ := source.ChangesSince(watcher.Position{Revision: n}, 0)
	source.ApplyChanges(startTime, watcher.Batch{Records: deletions, After: n, Revision: 2 * n})
	changes, _, full := source.ChangesSince(watcher.Position{Revision: n}, sequence)
	b := watcher.Batch{Records: changes, Revision: 2 * n}
	if full {
		follower.LoadAll(startTime, b)
	} else {
		follower.ApplyChanges(startTime, b)
	}
	if got := len(follower.LiveRecords()); got != 0 {
		t.Errorf("got %d records that were deleted, want 0", got)
	}
}
