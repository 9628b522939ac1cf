package watcher_test

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// DecodeEvacuation decodes each record with prefix e/ as an order.
func (fakeDecoder) DecodeEvacuation(r watcher.Record) (string, error) {
	zone, ok := strings.CutPrefix(r.Key, "e/")
	if ok && string(r.Value) != "{}" {
		return "", errors.New("malformed")
	}
	if !ok {
		zone = ""
	}
	return zone, nil
}

func newOrder(zone string, revision uint64) watcher.Record {
	return watcher.Record{Key: "e/" + zone, Value: []byte("{}"), Revision: revision}
}

// newEmptyOrderTable returns a table that takes records with prefix e/ for orders.
func newEmptyOrderTable() *watcher.Table {
	return &watcher.Table{Compare: fakeDecoder{}.CompareStates, IsOrder: func(r watcher.Record) bool { return strings.HasPrefix(r.Key, "e/") }}
}

// newOrderTable returns a table at revision 10 of epoch 1 that knows records.
func newOrderTable(records ...watcher.Record) *watcher.Table {
	t := newEmptyOrderTable()
	t.LoadAll(startTime, watcher.Batch{Epoch: 1, Revision: 10, Records: records})
	t.RecordConfirmation(startTime, startTime)
	return t
}

// restore makes table read a store of epoch 2 with records, and applies what is held.
func restore(table *watcher.Table, records ...watcher.Record) (later time.Time) {
	restored := startTime.Add(time.Second)
	table.RecordConfirmation(restored, restored)
	table.LoadAll(restored, watcher.Batch{Epoch: 2, Revision: 5, Records: records})
	later = restored.Add(10 * time.Second)
	for at := restored; at.Before(later); at = at.Add(time.Second) {
		table.RecordConfirmation(at, at)
		table.ApplyHeldDeletions(at)
	}
	return later
}

// TestRestoredStoreKeepsOrders guards against an evacuation that ends because the store
// came back from a copy without it, also at instances that have read that copy and at
// those that start later, and against one that no deletion ends any more.
func TestRestoredStoreKeepsOrders(t *testing.T) {
	table := newOrderTable(newOrder("z0", 8), newOrder("z1", 3), newRecord("s/a", 2))
	later := restore(table, newOrder("z1", 3), newRecord("s/a", 2))
	if got, want := liveKeys(table), "e/z0e/z1s/a"; got != want {
		t.Fatalf("got %q after the restore, want %q", got, want)
	}
	table.LoadAll(later, watcher.Batch{Epoch: 2, Revision: 6, Records: []watcher.Record{newOrder("z1", 3), newRecord("s/a", 2)}})
	if got, want := liveKeys(table), "e/z0e/z1s/a"; got != want {
		t.Errorf("got %q after another read of all records, want %q", got, want)
	}
	started := newEmptyOrderTable()
	started.LoadAll(later, watcher.Batch{Epoch: 2, Revision: 6, Records: []watcher.Record{newOrder("z1", 3), newRecord("s/a", 2)}})
	position, _ := started.Position()
	records, _, full := table.ChangesSince(position, 0)
	if full {
		t.Fatal("got all records for a follower at the same position, want the changes")
	}
	started.ApplyChanges(later, watcher.Batch{Epoch: 2, After: position.Revision, Revision: 6, Records: records})
	if got, want := liveKeys(started), "e/z0e/z1s/a"; got != want {
		t.Errorf("got %q at an instance that started later, want %q", got, want)
	}
	for _, instance := range []*watcher.Table{table, started} {
		instance.ApplyChanges(later, watcher.Batch{Epoch: 2, After: 6, Revision: 8, Records: []watcher.Record{newDeletion("e/z0", 7), newDeletion("e/z1", 8)}})
		instance.ApplyChanges(later, watcher.Batch{Epoch: 2, After: 6, Revision: 6, Records: records}) // From a source that is behind.
		if got, want := liveKeys(instance), "s/a"; got != want {
			t.Errorf("got %q after the deletions, want %q", got, want)
		}
	}
}

// TestRestoredOrderIsInForce guards against an order that the store shows to the operator
// and that has no effect because it was deleted before the store came back from a copy.
func TestRestoredOrderIsInForce(t *testing.T) {
	table := newOrderTable(newOrder("z0", 3))
	table.ApplyChanges(startTime, watcher.Batch{Epoch: 1, After: 10, Revision: 11, Records: []watcher.Record{newDeletion("e/z0", 11)}})
	restore(table, newOrder("z0", 3))
	if got, want := liveKeys(table), "e/z0"; got != want {
		t.Errorf("got %q, want %q as in the store", got, want)
	}
}

// TestHeldDeletionEndsOrderLater guards against the deletion of an order that is lost
// because it arrives right after an outage of the store.
func TestHeldDeletionEndsOrderLater(t *testing.T) {
	table := newOrderTable(newOrder("z0", 3))
	back := startTime.Add(10 * time.Second)
	table.RecordConfirmation(back, back)
	table.ApplyChanges(back, watcher.Batch{Epoch: 1, After: 10, Revision: 11, Records: []watcher.Record{newDeletion("e/z0", 11)}})
	if got, want := liveKeys(table), "e/z0"; got != want {
		t.Errorf("got %q while the deletion is held, want %q", got, want)
	}
	if table.ApplyHeldDeletions(back.Add(3 * time.Second)); liveKeys(table) != "" {
		t.Errorf("got %q after the hold time, want no order", liveKeys(table))
	}
}
