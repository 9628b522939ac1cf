package watcher_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// TestListWhileStoreIsAway guards against a server that lives and is dropped, because a restored
// store lacks its record, is away again before the server could write it, and another instance
// sends all the records that the copy has.
func TestListWhileStoreIsAway(t *testing.T) {
	known := watcher.Batch{Epoch: 1, Revision: 20, Records: []watcher.Record{newState("copied", 4, 1), newState("joined", 15, 1)}}
	copied := watcher.Batch{Epoch: 2, Revision: 10, Records: known.Records[:1]}
	table := newComparingTable(known)
	table.RecordConfirmation(startTime, startTime)
	table.LoadAll(startTime, copied)
	late := startTime.Add(time.Minute)
	table.LoadAll(late, copied)
	table.ApplyHeldDeletions(late)
	if got, want := liveStates(table), "copied1 joined1 "; got != want {
		t.Errorf("got %q while the store is away, want %q", got, want)
	}
	for range 3 {
		table.RecordConfirmation(late, late)
		late = late.Add(2 * time.Second)
	}
	table.ApplyHeldDeletions(late)
	if got, want := liveStates(table), "copied1 "; got != want {
		t.Errorf("got %q after the store was back for long, want %q", got, want)
	}
}
