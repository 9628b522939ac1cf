package watcher_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// TestFirstReadOfLostHistory guards against an instance that started with a stale read of
// what a restored store had before, and ignores the changes up to that revision.
func TestFirstReadOfLostHistory(t *testing.T) {
	table := &watcher.Table{Compare: fakeDecoder{}.CompareStates}
	table.LoadAll(startTime, watcher.Batch{Epoch: 2, Revision: 36, Stale: true, Records: []watcher.Record{newState("config", 36, 1), newState("server", 30, 1)}})
	table.LoadAll(startTime, watcher.Batch{Epoch: 2, Revision: 21, Records: []watcher.Record{newState("config", 12, 1), newState("server", 13, 1)}})
	table.RecordConfirmation(startTime, startTime)
	if p, _ := table.Position(); p.Revision != 21 {
		t.Errorf("got position %v after the store confirmed all records at 21, want 21", p)
	}
	table.ApplyChanges(startTime, watcher.Batch{Epoch: 2, Revision: 23, Records: []watcher.Record{newState("server", 22, 2), newState("config", 23, 2)}})
	if got, want := liveStates(table), "config2 server2 "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestStartFromLostHistory is TestFirstReadOfLostHistory with a whole instance.
func TestStartFromLostHistory(t *testing.T) {
	s := newFakeStore()
	s.epoch = 1
	s.putRecord("config", false)
	earlier := watcher.Batch{Epoch: 1, Revision: 9, Records: []watcher.Record{{Key: "config", Value: []byte("config"), Revision: 9}}}
	recorder, source := new(bundleRecorder), &scriptedSource{ended: make(chan bool)}
	w := &watcher.Watcher{
		Store: &staleStore{storeView{fakeStore: s}, earlier}, Decoder: fakeDecoder{}, Name: "self", Fleet: source, StreamOpener: source, BundleSink: recorder, Log: &discardLogger,
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Add(1)
	go (&runningWatcher{w, &done}).run(ctx)
	defer func() { cancel(); done.Wait() }()
	waitFor(t, "the first read", func() bool { return w.List() != nil })
	time.Sleep(100 * time.Millisecond)
	s.putRecord("config", false)
	time.Sleep(maxChangeDelay)
	if got := recorder.lastRevision(); got != 2 {
		t.Errorf("got the configuration of revision %d after %v, want 2", got, maxChangeDelay)
	}
}

// TestFollowFromLostHistory is TestStartFromLostHistory for instances that follow others.
func TestFollowFromLostHistory(t *testing.T) {
	s := newFakeStore()
	s.epoch = 1
	s.putRecord("config", false)
	s.putRecord("s/one", false)
	f := newFakeFleet(t, s, 3)
	f.waitForServers(t, "first records", 1)
	earlier := watcher.Batch{Epoch: 1, Revision: 9, Records: []watcher.Record{{Key: "config", Value: []byte("config"), Revision: 9}, {Key: "s/one", Revision: 2}}}
	recorders := make([]*bundleRecorder, 8)
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	defer func() { cancel(); done.Wait() }()
	for i := range recorders { // Readers or followers, by the rank of their name.
		recorders[i] = new(bundleRecorder)
		late := &watcher.Watcher{
			Store: &staleStore{storeView{fakeStore: s}, earlier}, Decoder: fakeDecoder{}, Name: fmt.Sprint("late", i), Fleet: f, BundleSink: recorders[i], Log: &discardLogger,
		}
		late.StreamOpener = &lateOpener{f, late}
		done.Add(1)
		go (&runningWatcher{late, &done}).run(ctx)
		waitFor(t, "the first read", func() bool { return late.List() != nil })
	}
	s.putRecord("config", false)
	waitFor(t, "the configuration of the store", func() bool {
		return !slices.ContainsFunc(recorders, func(r *bundleRecorder) bool { return r.lastRevision() != 3 })
	})
}

// TestStaleReadBecomesCurrent guards against an instance that, long after its stale first
// read, takes a source that lags a little for a store that was restored.
func TestStaleReadBecomesCurrent(t *testing.T) {
	table := &watcher.Table{Compare: fakeDecoder{}.CompareStates}
	table.LoadAll(startTime, watcher.Batch{Revision: 5, Stale: true, Records: []watcher.Record{newState("a", 5, 1)}})
	table.ApplyChanges(startTime, watcher.Batch{Revision: 6, Records: []watcher.Record{newState("b", 6, 1)}})
	if table.IsAhead(watcher.Position{Revision: 5}) {
		t.Error("got a table that is ahead of its source, want one that a source confirmed")
	}
	table.LoadAll(startTime, watcher.Batch{Revision: 5, Records: []watcher.Record{newState("a", 5, 1)}})
	table.ApplyChanges(startTime, watcher.Batch{Revision: 7, Records: []watcher.Record{newDeletion("a", 7)}})
	if got, want := liveStates(table), "b1 "; got != want {
		t.Errorf("got %q, want %q: no deletion is held", got, want)
	}
}
