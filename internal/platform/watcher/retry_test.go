package watcher_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// forgetfulStore never has the changes after the revision that it gave itself.
type forgetfulStore struct {
	storeView
	callCount atomic.Int64
}

func (s *forgetfulStore) ReadPage(ctx context.Context, after string, stale bool) (watcher.Page, error) {
	s.callCount.Add(1)
	return s.storeView.ReadPage(ctx, after, stale)
}

func (s *forgetfulStore) Watch(context.Context, uint64, time.Duration) (watcher.Batch, error) {
	s.callCount.Add(1)
	time.Sleep(4 * time.Millisecond) // What a call takes.
	return watcher.Batch{}, watcher.ErrCompacted
}

// soleInstance is a fleet of one instance.
type soleInstance struct{}

func (soleInstance) UsableMembers(string, string) []registrar.Member {
	return []registrar.Member{{Name: "self"}}
}

func (soleInstance) OpenStream(context.Context, netip.AddrPort, connector.StreamKind) (net.Conn, error) {
	return nil, errUnreachable
}

// TestForgetfulStore guards against a reader that reads all records again without a delay
// while the store never has the changes after them. Two readers may make 8 calls a second.
func TestForgetfulStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := newFakeStore()
		records.putRecord("s/one", false)
		s := &forgetfulStore{storeView: storeView{fakeStore: records}}
		w := &watcher.Watcher{
			Store: s, Decoder: fakeDecoder{}, Name: "self", Fleet: soleInstance{}, StreamOpener: soleInstance{}, BundleSink: new(bundleRecorder), Log: &discardLogger,
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_ = w.Run(ctx)
		if got, want := s.callCount.Load(), int64(10*8); got > want {
			t.Errorf("got %d calls to the store in 10 s, want at most %d", got, want)
		}
	})
}

// refusingFleet has one other instance, which refuses each stream at once.
type refusingFleet struct{ openCount atomic.Int64 }

func (*refusingFleet) UsableMembers(string, string) []registrar.Member {
	return []registrar.Member{{Name: "other", PeerAddr: netip.AddrPortFrom(netip.IPv4Unspecified(), 1)}, {Name: "self"}}
}

func (f *refusingFleet) OpenStream(context.Context, netip.AddrPort, connector.StreamKind) (net.Conn, error) {
	f.openCount.Add(1)
	return nil, errUnreachable
}

// TestRefusingSource guards against an instance that spins on its only source while that
// refuses it and the store is away.
func TestRefusingSource(t *testing.T) {
	f := new(refusingFleet)
	w := &watcher.Watcher{
		Store: &storeView{fakeStore: newFakeStore(), unreachable: true}, Decoder: fakeDecoder{}, Name: "self", Fleet: f, StreamOpener: f, BundleSink: new(bundleRecorder), Log: &discardLogger,
	}
	const runTime = 2 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), runTime)
	defer cancel()
	_ = w.Run(ctx)
	if got, want := f.openCount.Load(), int64(2*runTime/(100*time.Millisecond))+2; got > want {
		t.Errorf("got %d tries in %v, want at most %d, one for each of two readers in 100 ms", got, runTime, want)
	}
}
