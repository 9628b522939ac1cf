package watcher_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// slowEpochStore answers the first page of all records with its epoch and lets the answer
// wait until it is released, while the store is restored.
type slowEpochStore struct {
	storeView
	slow    atomic.Bool
	waiting chan bool
	release chan bool
}

func (s *slowEpochStore) Watch(ctx context.Context, after uint64, wait time.Duration) (watcher.Batch, error) {
	b, err := s.storeView.Watch(ctx, after, wait)
	if s.slow.CompareAndSwap(true, false) {
		s.waiting <- true
		<-s.release
	}
	return b, err
}

// gatedSource is an openSource that cannot be reached before the gate is closed.
type gatedSource struct {
	openSource
	gate chan bool
}

func (s *gatedSource) OpenStream(ctx context.Context, peer netip.AddrPort, k connector.StreamKind) (net.Conn, error) {
	select {
	case <-s.gate:
		return s.openSource.OpenStream(ctx, peer, k)
	default:
		return nil, errUnreachable
	}
}

// TestAnswerOfEarlierEpoch guards against an answer that was under way while the store was
// restored and the records of the other source had entered the new epoch.
func TestAnswerOfEarlierEpoch(t *testing.T) {
	s := newFakeStore()
	s.putRecord("s/old", false)
	var feed bytes.Buffer
	_ = messenger.WriteMessage(&feed, &messenger.Feed{Epoch: 1, At: 1, Full: true, Age: int64(time.Second), Reader: "x", Records: []*messenger.Record{{Key: "s/newer", Revision: 1}}})
	source := &gatedSource{openSource: openSource{scriptedSource{feed: feed.Bytes(), ended: make(chan bool, 9)}}, gate: make(chan bool)}
	store := &slowEpochStore{storeView: storeView{fakeStore: s}, waiting: make(chan bool), release: make(chan bool)}
	w := &watcher.Watcher{Store: store, Decoder: fakeDecoder{}, Name: "self", Fleet: source, StreamOpener: source, BundleSink: new(bundleRecorder), Log: &discardLogger}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Add(1)
	go (&runningWatcher{w, &done}).run(ctx)
	defer func() { cancel(); done.Wait() }()
	waitFor(t, "the first records", func() bool { return w.Revision() == 1 && !w.ConfirmedAt().IsZero() })
	store.slow.Store(true)
	s.putRecord("s/oldest", false) // Its answer is under way while the feed enters the next epoch.
	<-store.waiting
	close(source.gate)
	waitFor(t, "the next epoch", func() bool { return w.Position().Epoch == 1 })
	before := w.ConfirmedAt()
	s.mu.Lock()
	s.epoch, s.revision = 1, 1
	s.records = map[string]watcher.Record{"s/newer": {Key: "s/newer", Value: nil, Revision: 1}}
	s.mu.Unlock()
	store.release <- true
	time.Sleep(5 * time.Millisecond)
	if p := w.Position(); p.Epoch != 1 {
		t.Errorf("got position %v, want epoch 1", p)
	}
	for _, r := range w.List().Entries {
		if r.Name == "oldest" {
			t.Errorf("got %v, want no record of the earlier epoch", r.Name)
		}
	}
	if got := w.ConfirmedAt(); !got.Equal(before) {
		t.Errorf("got records confirmed at %v by an answer of the earlier epoch, want %v", got, before)
	}
}
