package watcher_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// staleStore is a store whose stale reads are those of an earlier time.
type staleStore struct {
	storeView
	earlier watcher.Batch
}

func (s *staleStore) ReadPage(ctx context.Context, after string, stale bool) (watcher.Page, error) {
	if stale {
		return watcher.Page{Batch: s.earlier}, nil
	}
	return s.storeView.ReadPage(ctx, after, stale)
}

// TestRestart guards against an instance that, after a restart, goes on to use a backend
// server that had left or a configuration that was replaced: because its first read is
// stale, or because the instance that it follows is behind.
func TestRestart(t *testing.T) {
	s := newFakeStore()
	s.putRecord("s/left", false)
	s.putRecord("config", false)
	earlier := s.changesSince(0, true)
	s.putRecord("s/left", true)
	s.putRecord("config", false)
	var behind bytes.Buffer
	message := &messenger.Feed{At: earlier.Revision, Full: true, Reader: "source"}
	for _, r := range earlier.Records {
		message.Records = append(message.Records, &messenger.Record{Key: r.Key, Value: r.Value, Revision: r.Revision})
	}
	for range 50 { // Sent again and again, also after the newer records are known.
		_ = messenger.WriteMessage(&behind, message)
	}
	for _, source := range []*scriptedSource{{ended: make(chan bool)}, {feed: behind.Bytes(), ended: make(chan bool, 1)}} {
		recorder := new(bundleRecorder)
		w := &watcher.Watcher{
			Store: &staleStore{storeView{fakeStore: s}, earlier}, Decoder: fakeDecoder{}, Name: "self", Fleet: source, StreamOpener: source, BundleSink: recorder, Log: &discardLogger,
		}
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Add(1)
		go (&runningWatcher{w, &done}).run(ctx)
		waitFor(t, "the records of the store", func() bool {
			return w.List() != nil && len(w.List().Entries) == 0 && recorder.lastRevision() == 4
		})
		for end := time.Now().Add(200 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if len(w.List().Entries) > 0 || recorder.lastRevision() != 4 {
				t.Fatalf("got servers %v and revision %d of the configuration again, want none and 4", w.List().Entries, recorder.lastRevision())
			}
		}
		cancel()
		done.Wait()
	}
}
