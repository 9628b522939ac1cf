package watcher_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// startSizes are the sizes of the fleets in which the tests start instances: up to the
// second one all follow the readers, above it they follow relays.
var startSizes = []int{9, 32, 60, 312}

// slowStore is the store of an instance in a zonedFleet whose stale reads are answered
// after a delay with the records of an earlier time.
type slowStore struct {
	*zonedInstance
	earlier watcher.Batch
	delay   time.Duration
}

func (s *slowStore) ReadPage(ctx context.Context, after string, stale bool) (watcher.Page, error) {
	if !stale {
		return s.zonedInstance.ReadPage(ctx, after, false)
	}
	time.Sleep(s.delay)
	return watcher.Page{Batch: s.earlier}, nil
}

// leaveFleet lets a backend server join and leave, and returns the records as they were
// before it left.
func (f *zonedFleet) leaveFleet(t *testing.T) (earlier watcher.Batch) {
	f.changeDelay(t, "s/left56789")
	f.store.mu.Lock()
	earlier = f.store.changesSince(0, true)
	f.store.mu.Unlock()
	f.store.putRecord("s/left56789", true)
	f.changeDelay(t, "s/other")
	return earlier
}

// startLate starts an instance beside member i and stops it after runTime. Its list must
// then be that of the store.
func (f *zonedFleet) startLate(t *testing.T, i int, runTime time.Duration, storeOf func(*zonedInstance) watcher.Store) {
	t.Helper()
	x := &zonedInstance{fleet: f}
	x.Watcher = &watcher.Watcher{
		Store: storeOf(x), Decoder: fakeDecoder{}, Name: fmt.Sprint("late", i), Zone: f.members[i].Zone, Region: "r", Fleet: f, StreamOpener: x, BundleSink: new(bundleRecorder), Log: &discardLogger,
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.running.Add(1)
	go (&runningWatcher{x.Watcher, &f.running}).run(ctx)
	time.Sleep(runTime)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	if x.Revision() != f.store.revision {
		t.Errorf("got revision %d at %s, want %d", x.Revision(), x.Name, f.store.revision)
	}
	if names := serverNames(x.Watcher); strings.Contains(names, "left") {
		t.Errorf("got servers %s at %s, want none that left", names, x.Name)
	}
}

// TestSlowFirstRead guards against an instance that starts while the store is slow and
// uses a backend server that left, because its stale first read arrives after the records
// of another instance.
func TestSlowFirstRead(t *testing.T) {
	for _, n := range startSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newZonedFleet(n)
				defer func() { f.stop(); f.running.Wait() }()
				time.Sleep(5 * time.Second)
				earlier := f.leaveFleet(t)
				for i := range 6 {
					f.startLate(t, i, 3*time.Second, func(x *zonedInstance) watcher.Store { return &slowStore{x, earlier, 240 * time.Millisecond} })
				}
			})
		})
	}
}

// TestLateLoad guards against a record that was deleted and is in use again, because a
// read of all records, or the changes of a source that is behind, arrive late.
func TestLateLoad(t *testing.T) {
	late := []watcher.Record{newRecord("a", 1), newRecord("left", 2), newRecord("new", 12)}
	for name, apply := range map[string]func(*watcher.Table){
		"stale": func(x *watcher.Table) {
			x.LoadAll(startTime, watcher.Batch{Records: late[:2], Revision: 8, Stale: true})
		},
		"full":   func(x *watcher.Table) { x.LoadAll(startTime, watcher.Batch{Records: late, Revision: 8}) },
		"behind": func(x *watcher.Table) { x.ApplyChanges(startTime, watcher.Batch{Records: late, Revision: 8}) },
	} {
		table := newLoadedTable(newRecord("a", 1))
		apply(table)
		if got := liveKeys(table); got != "a" && got != "anew" {
			t.Errorf("%s: got %q, want no record that was deleted", name, got)
		}
		if got := liveKeys(table); name != "stale" && got != "anew" {
			t.Errorf("%s: got %q, want the record after the known position too", name, got)
		}
	}
}
