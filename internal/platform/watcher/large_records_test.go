package watcher_test

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

const (
	largestValue = 1 << 20
	manyServers  = 2000
)

func (s *fakeStore) putValue(key string, value []byte) { s.put(key, value, false) }

// numberedDecoder is a fakeDecoder for many backend servers, whose names are numbers.
type numberedDecoder struct{ fakeDecoder }

func (numberedDecoder) DecodeEntry(r watcher.Record) (reader.Entry, bool, error) {
	var n uint16
	_, err := fmt.Sscanf(r.Key, "s/%d", &n)
	return reader.Entry{Name: r.Key, Service: "s", Address: netip.AddrPortFrom(netip.IPv6LinkLocalAllNodes(), n+1)}, err == nil, nil
}

func (numberedDecoder) BundleText(r watcher.Record) []byte {
	if r.Key != "config" {
		return nil
	}
	return r.Value
}

// sizeRecorder keeps the size of the last bundle.
type sizeRecorder struct{ atomic.Int64 }

func (s *sizeRecorder) OfferBundle(text []byte, _ string) (bool, error) {
	s.Store(int64(len(text)))
	return true, nil
}

// slowLinkConn delivers what is written at a number of bytes in each second.
type slowLinkConn struct {
	net.Conn
	rate int
}

func (c *slowLinkConn) Write(p []byte) (n int, err error) {
	for len(p) > 0 {
		part := p[:min(len(p), 1024)]
		time.Sleep(time.Duration(len(part)) * time.Second / time.Duration(c.rate))
		m, err := c.Conn.Write(part)
		n += m
		if err != nil {
			return n, err
		}
		p = p[len(part):]
	}
	return n, nil
}

// largeFleet is a zonedFleet whose store holds a configuration of the largest size and the
// records of many backend servers.
type largeFleet struct {
	*zonedFleet
	sizes []*sizeRecorder
}

// newLargeFleet returns a fleet of n instances, which have the first record alone. Its
// feeds carry rate bytes in each second.
func newLargeFleet(n, rate int) *largeFleet {
	f := &largeFleet{zonedFleet: &zonedFleet{store: newFakeStore(), members: zonedMembers(n), linkRate: rate}}
	for i := range f.members {
		f.members[i].PeerAddr = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
		f.nodes = append(f.nodes, &zonedInstance{fleet: f.zonedFleet})
		f.sizes = append(f.sizes, new(sizeRecorder))
	}
	f.prepare = func(i int, w *watcher.Watcher) { w.Decoder, w.BundleSink = numberedDecoder{}, f.sizes[i] }
	f.store.putRecord("s/0", false)
	f.start()
	return f
}

// putServers writes the records of many backend servers.
func (f *largeFleet) putServers() {
	for i := range manyServers {
		f.store.putValue(fmt.Sprint("s/", i), []byte(strings.Repeat(fmt.Sprintf("%04d", i), 75)))
	}
}

// putConfig writes a configuration of size bytes that hardly compresses.
func (f *largeFleet) putConfig(size int) {
	text := make([]byte, size/2)
	_, _ = rand.Read(text)
	f.store.putValue("config", []byte(hex.EncodeToString(text)))
}

// restartWithoutStore replaces instance i by one that the store refuses.
func (f *largeFleet) restartWithoutStore(i int) *zonedInstance {
	f.nodes[i].stop()
	f.sizes[i].Store(0)
	x := &zonedInstance{fleet: f.zonedFleet, refusal: refused}
	f.newWatcher(i, x)
	f.nodesMu.Lock()
	f.nodes[i] = x
	f.nodesMu.Unlock()
	f.running.Add(1)
	go (&runningWatcher{x.Watcher, &f.running}).run(x.ctx)
	return x
}

// behind returns the names of the instances that lack a backend server or whose
// configuration has another size.
func (f *largeFleet) behind(size int) (names []string) {
	for i, x := range f.nodes {
		if l := x.List(); l == nil || len(l.Entries) != manyServers || f.sizes[i].Load() != int64(size) {
			names = append(names, x.Name)
		}
	}
	return names
}

// await returns the time until no instance is behind, or fails the test after limit.
func (f *largeFleet) await(t *testing.T, what string, size int, limit time.Duration) {
	t.Helper()
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		behind := f.behind(size)
		if len(behind) == 0 {
			return
		}
		if time.Since(start) > limit {
			t.Fatalf("%s: got instances %v behind the store after %v, want none", what, behind, limit)
		}
	}
}

// TestLargestRecords guards against a configuration of the largest size, or the records of
// many backend servers beside it, that do not reach an instance at some step from the store:
// one that follows a reader or a relay, has a slow link, or starts without the store.
func TestLargestRecords(t *testing.T) {
	const megabit = 1e6 / 8
	for _, c := range []struct{ n, rate int }{{3, 1000 * megabit}, {12, 100 * megabit}, {12, 10 * megabit}, {40, 200 * megabit}} {
		t.Run(fmt.Sprintf("%d/%d", c.n, c.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLargeFleet(c.n, c.rate)
				defer func() { f.stop(); f.running.Wait() }()
				time.Sleep(2 * time.Second)
				f.putServers()
				f.putConfig(largestValue - 2)
				f.await(t, "first configuration", largestValue-2, 4*maxChangeDelay)
				time.Sleep(2 * time.Second)
				f.putConfig(largestValue)
				f.await(t, "change", largestValue, maxChangeDelay)
				for i := 0; i < c.n; i += 1 + c.n/10 {
					x := f.restartWithoutStore(i)
					f.await(t, "start without the store of "+x.Name, largestValue, 4*maxChangeDelay)
					x.setRefusal(served)
					time.Sleep(time.Second)
				}
			})
		})
	}
}
