package watcher_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// newState returns a record whose value is its state; later states have higher numbers.
func newState(key string, revision uint64, state byte) watcher.Record {
	return watcher.Record{Key: key, Value: []byte{state}, Revision: revision}
}

func liveStates(t *watcher.Table) (s string) {
	for _, r := range t.LiveRecords() {
		s += fmt.Sprintf("%s%d ", r.Key, r.Value[0])
	}
	return s
}

func newComparingTable(b watcher.Batch) *watcher.Table {
	t := &watcher.Table{Compare: fakeDecoder{}.CompareStates}
	t.LoadAll(startTime, b)
	t.RecordConfirmation(startTime, startTime)
	return t
}

// TestRestoredRecords guards against a record that left, or a state that was replaced, and
// is in use again because a restored store has it, and against records that are dropped
// before their writers have written them again.
func TestRestoredRecords(t *testing.T) {
	table := newComparingTable(watcher.Batch{Epoch: 1, Revision: 20, Records: []watcher.Record{
		newState("calm", 3, 1), newState("drained", 4, 1), newState("left", 5, 1), newState("lagged", 6, 1),
	}})
	table.ApplyChanges(startTime, watcher.Batch{Epoch: 1, Revision: 30, Records: []watcher.Record{
		newState("drained", 25, 2), newDeletion("left", 26), newState("new", 27, 1), newState("lost", 28, 1),
	}})
	restored := startTime.Add(3 * time.Second)
	copied := watcher.Batch{Epoch: 2, Revision: 21, Records: []watcher.Record{
		newState("calm", 3, 1), newState("drained", 4, 1), newState("left", 5, 1), newState("lagged", 21, 2),
	}}
	table.RecordConfirmation(restored, restored)
	changed := table.LoadAll(restored, copied)
	if got, want := liveStates(table), "calm1 drained2 lagged2 lost1 new1 "; got != want {
		t.Fatalf("got %q right after the restore, want %q", got, want)
	}
	if len(changed) != 1 || changed[0].Key != "lagged" {
		t.Errorf("got changes %v, want that of lagged alone", changed)
	}
	if p, _ := table.Position(); p != (watcher.Position{Epoch: 2, Revision: 21}) {
		t.Errorf("got position %v, want that of the restored store", p)
	}
	table.LoadAll(restored, copied) // A second read of the same copy changes nothing.
	table.ApplyChanges(restored, watcher.Batch{Epoch: 1, Revision: 31, Records: []watcher.Record{newState("calm", 31, 9)}})
	table.ApplyChanges(restored.Add(time.Second), watcher.Batch{Epoch: 2, Revision: 23, Records: []watcher.Record{
		newState("new", 22, 1), newState("drained", 23, 2),
	}})
	if changed := table.ApplyHeldDeletions(restored.Add(2 * time.Second)); len(changed) != 0 {
		t.Errorf("got %v dropped within the 2 s of the platform, want none", changed)
	}
	if changed := table.ApplyHeldDeletions(restored.Add(3 * time.Second)); len(changed) != 0 {
		t.Errorf("got %v dropped without a confirmation that they are still missing, want none", changed)
	}
	table.RecordConfirmation(restored.Add(3*time.Second), restored.Add(2300*time.Millisecond))
	table.ApplyHeldDeletions(restored.Add(3 * time.Second))
	if got, want := liveStates(table), "calm1 drained2 lagged2 new1 "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	table.ApplyChanges(restored.Add(4*time.Second), watcher.Batch{Epoch: 2, Revision: 24, Records: []watcher.Record{newState("left", 24, 1)}})
	if got, want := liveStates(table), "calm1 drained2 lagged2 left1 new1 "; got != want {
		t.Errorf("got %q after left was written again, want %q", got, want)
	}
}

// TestRestoredFeed guards against an instance that started from a restored store itself and
// never learns, from an instance that it follows, what the copy lacks; and against a
// follower of an earlier epoch that gets only the changes of a later one.
func TestRestoredFeed(t *testing.T) {
	table := newComparingTable(watcher.Batch{Epoch: 1, Revision: 20, Records: []watcher.Record{newState("drained", 4, 1), newState("left", 5, 1)}})
	table.ApplyChanges(startTime, watcher.Batch{Epoch: 1, Revision: 30, Records: []watcher.Record{newState("drained", 25, 2), newDeletion("left", 26), newState("lost", 27, 1)}})
	_, sequence, _ := table.ChangesSince(watcher.Position{Epoch: 1, Revision: 30}, 0)
	copied := watcher.Batch{Epoch: 2, Revision: 21, Records: []watcher.Record{newState("drained", 4, 1), newState("left", 5, 1)}}
	table.LoadAll(startTime.Add(3*time.Second), copied)
	started := newComparingTable(copied)
	records, _, full := table.ChangesSince(watcher.Position{Epoch: 2, Revision: 21}, 0)
	started.ApplyChanges(startTime, watcher.Batch{Epoch: 2, Revision: 21, Records: records})
	if got, want := liveStates(started), "drained2 "; got != want || full {
		t.Errorf("got %q, all: %v, want %q and only what the copy lacks", got, full, want)
	}
	if records, _, _ := started.ChangesSince(watcher.Position{Epoch: 2, Revision: 21}, 0); len(records) != 2 {
		t.Errorf("got %v passed on, want both", records)
	}
	if records, _, full := table.ChangesSince(watcher.Position{}, 0); !full || len(records) != 2 {
		t.Errorf("got %v for a new follower, want all but the one that nobody may write again", records)
	}
	for _, known := range []struct {
		after    watcher.Position
		sequence uint64
	}{{watcher.Position{Epoch: 1, Revision: 30}, 0}, {watcher.Position{Epoch: 1, Revision: 30}, sequence}} {
		if _, _, full := table.ChangesSince(known.after, known.sequence); !full {
			t.Errorf("%v: got changes, want all records, because the epoch is another", known)
		}
	}
}

// newHistory returns changes of revisions 1 to 12, and the changes of a store that goes
// back to the first cut of them and to which the writers then write their states again.
func newHistory(t *rapid.T, cut int) (before, after []watcher.Record, newest string) {
	states := make(map[string]byte)
	for revision := uint64(1); revision <= 12; revision++ {
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
		states[key]++
		before = append(before, newState(key, revision, states[key]))
	}
	after = slices.Clone(before[:cut])
	for _, key := range slices.Sorted(maps.Keys(states)) {
		after = append(after, newState(key, uint64(len(after)+1), states[key]))
		newest += fmt.Sprintf("%s%d ", key, states[key])
	}
	return before, after, newest
}

// batchOf returns all records of a store with the given changes.
func batchOf(epoch uint64, changes []watcher.Record) watcher.Batch {
	newest := make(map[string]watcher.Record)
	for _, r := range changes {
		newest[r.Key] = r
	}
	return watcher.Batch{Epoch: epoch, Revision: uint64(len(changes)), Records: slices.Collect(maps.Values(newest))}
}

// follow delivers to follower what it lacks of source.
func follow(follower, source *watcher.Table) {
	after, _ := follower.Position()
	p := source.AppliedPosition()
	records, _, full := source.ChangesSince(after, 0)
	b := watcher.Batch{Epoch: p.Epoch, Revision: p.Revision, Records: records}
	if full {
		follower.LoadAll(startTime, b)
	} else {
		follower.ApplyChanges(startTime, b)
	}
}

// TestRestoreOrder guards against a record that stays older than the state that was
// written last, by the order in which two instances read a restored store and each other.
func TestRestoreOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cut := rapid.IntRange(0, 12).Draw(t, "cut")
		before, after, want := newHistory(t, cut)
		x, y := newComparingTable(batchOf(1, before)), newComparingTable(batchOf(1, before[:rapid.IntRange(cut, 12).Draw(t, "behind")]))
		reads := []watcher.Batch{batchOf(2, before[:cut]), batchOf(2, after), batchOf(1, before)}
		for _, i := range append(rapid.SliceOf(rapid.IntRange(0, 2)).Draw(t, "reads"), 1) {
			x.LoadAll(startTime, reads[i])
			follow(y, x)
		}
		y.LoadAll(startTime, reads[1])
		if gotX, gotY := liveStates(x), liveStates(y); gotX != want || gotY != want {
			t.Fatalf("got %q and %q, want %q", gotX, gotY, want)
		}
	})
}

// restore makes the store go back to its state at a revision: what was written since is
// gone, and its revisions are given out again.
func (s *fakeStore) restore(records map[string]watcher.Record, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records, s.revision = maps.Clone(records), revision
	s.epoch++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) copyRecords() (map[string]watcher.Record, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.records), s.revision
}

// serverNames returns the names of the backend servers that w lists.
func serverNames(w *watcher.Watcher) string {
	var names []string
	if l := w.List(); l != nil {
		for _, e := range l.Entries {
			names = append(names, e.Name)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	return fmt.Sprint(names)
}

// restoreTrial is one case of TestRestoredFleet.
type restoreTrial struct {
	n       int           // Number of instances.
	away    time.Duration // Time for which the store is away.
	written int           // Records that are written right after the restore.
	turned  bool          // A third of the instances are turned away afterwards.
}

// TestRestoredFleet guards against changes that do not reach all instances within
// maxChangeDelay after the store came back from a copy, at any size of the fleet, also
// after the second restore; and against a server that left and is listed again.
func TestRestoredFleet(t *testing.T) {
	for _, c := range []restoreTrial{
		{16, 2 * time.Second, 0, false},
		{16, 0, 3, false},
		{107, 500 * time.Millisecond, 1, true},
		{107, 6 * time.Second, 6, false},
		{312, 2 * time.Second, 2, true},
	} {
		t.Run(fmt.Sprintf("%d/%v/%d", c.n, c.away, c.written), func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func (c restoreTrial) run(t *testing.T) {
	f := newZonedFleet(c.n)
	defer func() { f.stop(); f.running.Wait() }()
	time.Sleep(5 * time.Second)
	for round := range 2 {
		f.store.putRecord("s/left56789", false)
		f.changeDelay(t, "s/two")
		c.restoreStore(t, f)
		if c.turned {
			f.storeFault(refused, func(i int) bool { return i%3 == 0 })
		}
		for i := range 4 {
			if got := f.changeDelay(t, fmt.Sprintf("s/%07d%d", round, i)); got > maxChangeDelay {
				t.Errorf("round %d: got a delay of %v after the restore, want at most %v", round, got, maxChangeDelay)
			}
		}
		f.storeFault(served, func(int) bool { return true })
		for _, x := range f.nodes {
			if names := serverNames(x.Watcher); strings.Contains(names, "left56789") {
				t.Fatalf("round %d: got servers %s at %s, want none that left", round, names, x.Name)
			}
		}
	}
}

// restoreStore takes the store away and brings it back as it was before a server left.
func (c restoreTrial) restoreStore(t *testing.T, f *zonedFleet) {
	records, revision := f.store.copyRecords()
	f.store.putRecord("s/left56789", true)
	for i := range 4 {
		f.changeDelay(t, fmt.Sprint("config", i))
	}
	f.storeFault(refused, func(int) bool { return true })
	time.Sleep(c.away)
	f.store.restore(records, revision)
	for i := range c.written {
		f.store.putRecord(fmt.Sprint("config", i), false)
	}
	f.storeFault(served, func(int) bool { return true })
	time.Sleep(3 * time.Second) // The bound holds once the store has been stable for as long.
}

// lateOpener opens streams to the instances of a fakeFleet once its watcher has a list.
type lateOpener struct {
	*fakeFleet
	watcher *watcher.Watcher
}

func (o *lateOpener) OpenStream(ctx context.Context, peer netip.AddrPort, k connector.StreamKind) (net.Conn, error) {
	for o.watcher.List() == nil && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return o.fakeFleet.OpenStream(ctx, peer, k)
}

// TestRestartInRestoredFleet guards against an instance that starts after the store came
// back from a copy and lists a server that had left before, which the others know.
func TestRestartInRestoredFleet(t *testing.T) {
	s := newFakeStore()
	s.putRecord("s/left", false)
	s.putRecord("s/other67", false)
	f := newFakeFleet(t, s, 2)
	f.waitForServers(t, "first records", 2)
	records, revision := s.copyRecords()
	s.putRecord("s/left", true)
	f.waitForServers(t, "the server that leaves", 1)
	s.restore(records, revision)
	waitFor(t, "the restore", func() bool { return f.watchers[0].Position().Epoch == 1 && f.watchers[1].Position().Epoch == 1 })
	for i := range 24 { // Readers or followers, by the rank of their name.
		late := &watcher.Watcher{
			Store: &storeView{fakeStore: s}, Decoder: fakeDecoder{}, Name: fmt.Sprint("late", i), Fleet: f, BundleSink: new(bundleRecorder), Log: &discardLogger,
		}
		late.StreamOpener = &lateOpener{f, late}
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Add(1)
		go (&runningWatcher{late, &done}).run(ctx)
		waitFor(t, "the list without the server that left", func() bool { return serverNames(late) == "[other67]" })
		cancel()
		done.Wait()
	}
}

// openSource is a scriptedSource whose stream stays open after the text.
type openSource struct{ scriptedSource }

func (s *openSource) OpenStream(context.Context, netip.AddrPort, connector.StreamKind) (net.Conn, error) {
	a, b := net.Pipe()
	go s.loop(b)
	go s.run(b)
	return a, nil
}

func (s *openSource) run(conn net.Conn) {
	_, _ = conn.Write(s.feed)
	s.ended <- true
}

// TestEarlierEpoch guards against an instance that takes records, or a confirmation of its
// own, from another one that has not noticed that the store was restored.
func TestEarlierEpoch(t *testing.T) {
	var feed bytes.Buffer
	for _, m := range []*messenger.Feed{
		{Epoch: 2, At: 5, Full: true, Age: int64(time.Second), Reader: "x", Records: []*messenger.Record{{Key: "s/new", Revision: 5}}},
		{Epoch: 1, At: 9, Reader: "x", Records: []*messenger.Record{{Key: "s/replaced", Revision: 9}}},
		{Epoch: 1, At: 9, Full: true, Reader: "x", Records: []*messenger.Record{{Key: "s/replaced", Revision: 9}}},
	} {
		_ = messenger.WriteMessage(&feed, m)
	}
	source := &openSource{scriptedSource{feed: feed.Bytes(), ended: make(chan bool, 1)}}
	w := &watcher.Watcher{
		Store: &storeView{fakeStore: newFakeStore(), unreachable: true}, Decoder: fakeDecoder{}, Name: "self", Fleet: source, StreamOpener: source, BundleSink: new(bundleRecorder), Log: &discardLogger,
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Add(1)
	go (&runningWatcher{w, &done}).run(ctx)
	defer func() { cancel(); done.Wait() }()
	waitFor(t, "the end of the feed", func() bool { return len(source.ended) == 1 })
	for end := time.Now().Add(200 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if got := serverNames(w); got != "[new]" {
			t.Fatalf("got servers %s, want [new]", got)
		}
		if got := time.Since(w.ConfirmedAt()); got < time.Second {
			t.Fatalf("got records confirmed %v ago, want the age of the later epoch", got)
		}
	}
}
