package watcher_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinelever.example/sardinelever/internal/platform/watcher"
)

var epoch = time.Unix(1000, 0)

func put(key string, revision uint64) watcher.Record {
	return watcher.Record{Key: key, Value: []byte(key), Revision: revision}
}

func remove(key string, revision uint64) watcher.Record {
	return watcher.Record{Key: key, Revision: revision, Deleted: true}
}

func loaded(records ...watcher.Record) *watcher.Table {
	t := new(watcher.Table)
	t.Load(epoch, watcher.Batch{Records: records, At: 10})
	t.Confirm(epoch, epoch)
	return t
}

func keys(t *watcher.Table) string {
	s := ""
	for _, r := range t.Live() {
		s += r.Key
	}
	return s
}

// TestOrder guards against an older change that replaces a newer one, whatever
// sources and order the changes come in: the result is that of the revisions.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, newest := new(watcher.Table), make(map[string]watcher.Record)
		table.Load(epoch, watcher.Batch{})
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			r := put(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), rapid.Uint64Range(1, 30).Draw(t, "revision"))
			r.Deleted = r.Revision%3 == 0 // A revision is one change.
			if r.Revision > newest[r.Key].Revision {
				newest[r.Key] = r
			}
			table.Apply(epoch, watcher.Batch{Records: []watcher.Record{r}, At: r.Revision})
		}
		want := ""
		for _, k := range []string{"a", "b", "c"} {
			if r := newest[k]; r.Revision > 0 && !r.Deleted {
				want += k
			}
		}
		if got := keys(table); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}

// TestLoad guards against a deletion between the pages of a range, or before a
// read of all records, that is never noticed.
func TestLoad(t *testing.T) {
	table := loaded(put("a", 1), put("b", 2), put("new", 12))
	table.Load(epoch, watcher.Batch{Records: []watcher.Record{put("a", 1)}, At: 11})
	if got, want := keys(table), "anew"; got != want {
		t.Errorf("got %q, want %q: b is gone, new is later than the read", got, want)
	}
}

// TestHold guards against backend servers that are dropped because their
// records lapsed while the store was away, and against some that are kept although gone.
func TestHold(t *testing.T) {
	table := loaded(put("a", 1), put("b", 2))
	back := epoch.Add(6 * time.Second)
	table.Confirm(back, back)
	table.Apply(back, watcher.Batch{Records: []watcher.Record{remove("a", 11), remove("b", 12)}, At: 12})
	if got, want := keys(table), "ab"; got != want {
		t.Fatalf("got %q right after the outage, want %q", got, want)
	}
	table.Apply(back.Add(time.Second), watcher.Batch{Records: []watcher.Record{put("a", 13)}, At: 13})
	if changed := table.Expire(back.Add(2 * time.Second)); len(changed) != 0 {
		t.Errorf("got %d changes within the 2 s of the platform, want 0", len(changed))
	}
	table.Expire(back.Add(3 * time.Second))
	if got, want := keys(table), "a"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestNoHold guards against a deletion that waits without an outage.
func TestNoHold(t *testing.T) {
	table := loaded(put("a", 1))
	table.Confirm(epoch.Add(time.Second), epoch.Add(time.Second))
	table.Apply(epoch.Add(time.Second), watcher.Batch{Records: []watcher.Record{remove("a", 11)}, At: 11})
	if got := keys(table); got != "" {
		t.Errorf("got %q, want none", got)
	}
}

// TestSince guards against a follower that misses a change, among them a
// deletion that took effect long after its revision.
func TestSince(t *testing.T) {
	table := loaded(put("a", 1), put("b", 2))
	if records, _, full := table.Since(0, 0); !full || len(records) != 2 {
		t.Errorf("got %d records, all: %v, want 2 and true for a new follower", len(records), full)
	}
	_, last, full := table.Since(10, 0)
	if full {
		t.Error("got all records for a follower of revision 10, want changes")
	}
	back := epoch.Add(6 * time.Second)
	table.Confirm(back, back)
	table.Apply(back, watcher.Batch{Records: []watcher.Record{remove("a", 11)}, At: 11})
	if records, _, _ := table.Since(10, last); len(records) != 0 {
		t.Errorf("got %d records while the deletion waits, want 0", len(records))
	}
	table.Expire(back.Add(3 * time.Second))
	records, _, _ := table.Since(10, last)
	if len(records) != 1 || !records[0].Deleted {
		t.Errorf("got %v, want the deletion of a", records)
	}
}
