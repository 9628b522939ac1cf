package watcher_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// lateConn delivers what is read from it only once the delay has passed, as in a process
// that stood still.
type lateConn struct {
	net.Conn
	delay time.Duration
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(c.delay)
	return n, err
}

func (c *lateConn) SetReadDeadline(time.Time) error { return nil }

// lateSource is an openSource whose messages wait in the process that reads them.
type lateSource struct {
	openSource
	delay time.Duration
}

func (s *lateSource) OpenStream(ctx context.Context, peer netip.AddrPort, k connector.StreamKind) (net.Conn, error) {
	c, err := s.openSource.OpenStream(ctx, peer, k)
	return &lateConn{c, s.delay}, err
}

// TestConfirmationAfterPause guards against an instance that stood still, reads a message
// from before the pause and takes it for a fresh confirmation of its records.
func TestConfirmationAfterPause(t *testing.T) {
	var feed bytes.Buffer
	_ = messenger.WriteMessage(&feed, &messenger.Feed{At: 5, Full: true, Reader: "x", Records: []*messenger.Record{{Key: "s/new", Revision: 5}}})
	const pause = 3 * time.Second
	source := &lateSource{openSource{scriptedSource{feed: feed.Bytes(), ended: make(chan bool, 9)}}, pause}
	w := &watcher.Watcher{
		Store: &storeView{fakeStore: newFakeStore(), unreachable: true}, Decoder: fakeDecoder{}, Name: "self", Fleet: source, StreamOpener: source, BundleSink: new(bundleRecorder), Log: &discardLogger,
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Add(1)
	go (&runningWatcher{w, &done}).run(ctx)
	defer func() { cancel(); done.Wait() }()
	for end := time.Now().Add(2 * pause); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if at := w.ConfirmedAt(); !at.IsZero() && time.Since(at) < pause {
			t.Fatalf("got records confirmed %v ago by a message that is %v old", time.Since(at), pause)
		}
	}
}

// pausedStore answers each watch at once, to a process that then stands still.
type pausedStore struct {
	storeView
	pause time.Duration
}

func (s *pausedStore) Watch(context.Context, uint64, time.Duration) (watcher.Batch, error) {
	s.fakeStore.mu.Lock()
	b := s.changesSince(0, true)
	s.fakeStore.mu.Unlock()
	time.Sleep(s.pause)
	return b, nil
}

// TestStoreConfirmationAfterPause is TestConfirmationAfterPause for answers of the store.
func TestStoreConfirmationAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := newFakeStore()
		records.putRecord("s/one", false)
		w := &watcher.Watcher{
			Store: &pausedStore{storeView{fakeStore: records}, 10 * time.Second}, Decoder: fakeDecoder{}, Name: "self", Fleet: soleInstance{}, StreamOpener: soleInstance{}, BundleSink: new(bundleRecorder), Log: &discardLogger,
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_ = w.Run(ctx)
		if at := w.ConfirmedAt(); !at.IsZero() {
			t.Errorf("got records confirmed %v ago by an answer that is 10 s old", time.Since(at))
		}
	})
}
