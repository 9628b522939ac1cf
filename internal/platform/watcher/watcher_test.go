package watcher_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// testTimeout is the longest time that a test waits for one condition; no test asserts a
// shorter time.
const testTimeout = 20 * time.Second

// waitFor waits until ok returns true and fails the test after testTimeout.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, testTimeout)
		}
	}
}

var errUnreachable = errors.New("store is unreachable")

// fakeStore is an in-memory store; each instance uses it through a storeView.
type fakeStore struct {
	mu                sync.Mutex
	records           map[string]watcher.Record
	revision          uint64
	epoch             uint64
	compactedRevision uint64 // Changes up to this revision are no longer known.
	callCount         int
	pageSize          int // Number of records in a page; 0 means all.
	changed           chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{records: make(map[string]watcher.Record), changed: make(chan struct{})}
}

func (s *fakeStore) putRecord(key string, deleted bool) { s.put(key, []byte(key), deleted) }

func (s *fakeStore) put(key string, value []byte, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.records[key] = watcher.Record{Key: key, Value: value, Revision: s.revision, Deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) changesSince(after uint64, live bool) watcher.Batch {
	b := watcher.Batch{Revision: s.revision, Epoch: s.epoch}
	for _, r := range s.records {
		if r.Revision > after && !(live && r.Deleted) {
			b.Records = append(b.Records, r)
		}
	}
	return b
}

// storeView is the store as one instance sees it; it can be made unreachable.
type storeView struct {
	*fakeStore
	mu          sync.Mutex
	unreachable bool
}

func (s *storeView) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
}

func (s *storeView) checkReachable() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return errUnreachable
	}
	return nil
}

func (s *storeView) ReadPage(_ context.Context, after string, _ bool) (watcher.Page, error) {
	s.fakeStore.mu.Lock()
	defer s.fakeStore.mu.Unlock()
	s.callCount++
	page := watcher.Page{Batch: s.changesSince(0, true)}
	slices.SortFunc(page.Records, func(a, b watcher.Record) int { return cmp.Compare(a.Key, b.Key) })
	page.Records = slices.DeleteFunc(page.Records, func(r watcher.Record) bool { return r.Key <= after })
	if s.pageSize > 0 && len(page.Records) > s.pageSize {
		page.Records = page.Records[:s.pageSize]
		page.Next = page.Records[s.pageSize-1].Key
	}
	return page, s.checkReachable()
}

func (s *storeView) Watch(ctx context.Context, after uint64, wait time.Duration) (watcher.Batch, error) {
	if err := s.checkReachable(); err != nil {
		return watcher.Batch{}, err
	}
	s.fakeStore.mu.Lock()
	s.callCount++
	b, changed, compacted := s.changesSince(after, false), s.changed, s.compactedRevision
	s.fakeStore.mu.Unlock()
	if after < compacted || after > b.Revision {
		return watcher.Batch{}, watcher.ErrCompacted
	}
	if len(b.Records) > 0 {
		return b, nil
	}
	t := time.NewTimer(wait / 20)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
	if err := s.checkReachable(); err != nil {
		return watcher.Batch{}, err
	}
	s.fakeStore.mu.Lock()
	defer s.fakeStore.mu.Unlock()
	if s.epoch != b.Epoch {
		return watcher.Batch{}, errUnreachable // A restore cuts the watches that wait.
	}
	return s.changesSince(after, false), nil
}

// fakeDecoder decodes the record config as a bundle and each record with prefix s/ as a
// backend server.
type fakeDecoder struct{}

func (fakeDecoder) BundleText(r watcher.Record) []byte {
	if r.Key != "config" {
		return nil
	}
	return fmt.Appendf(nil, "%s %d", r.Value, r.Revision)
}

func (fakeDecoder) DecodeEntry(r watcher.Record) (reader.Entry, bool, error) {
	name, ok := strings.CutPrefix(r.Key, "s/")
	if ok && strings.HasPrefix(name, "bad") {
		return reader.Entry{}, false, errors.New("malformed")
	}
	port := uint16(len(name))
	return reader.Entry{Name: name, Service: "s", Address: netip.AddrPortFrom(netip.IPv6LinkLocalAllNodes(), port)}, ok, nil
}

func (fakeDecoder) CompareStates(a, b watcher.Record) int { return bytes.Compare(a.Value, b.Value) }

// bundleRecorder keeps the text and the revision of the last bundle.
type bundleRecorder struct {
	mu       sync.Mutex
	text     string
	revision uint64
}

func (r *bundleRecorder) OfferBundle(text []byte, _ string) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Sscan(string(text), &r.text, &r.revision)
	return true, nil
}

func (r *bundleRecorder) lastRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

func (r *bundleRecorder) lastText() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text
}

// fakeFleet connects watchers with pipes; watcher i has port i + 1.
type fakeFleet struct {
	watchers  []*watcher.Watcher
	views     []*storeView
	recorders []*bundleRecorder
}

func (f *fakeFleet) UsableMembers(_, _ string) []registrar.Member {
	var out []registrar.Member
	for i, w := range f.watchers {
		out = append(out, registrar.Member{Name: w.Name, PeerAddr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))})
	}
	return out
}

func (f *fakeFleet) OpenStream(_ context.Context, peer netip.AddrPort, _ connector.StreamKind) (net.Conn, error) {
	a, b := net.Pipe()
	go f.watchers[peer.Port()-1].ServeStream(connector.Hello{}, b)
	return a, nil
}

func newFakeFleet(t *testing.T, s *fakeStore, n int) *fakeFleet {
	f := new(fakeFleet)
	for i := range n {
		f.views, f.recorders = append(f.views, &storeView{fakeStore: s}), append(f.recorders, new(bundleRecorder))
		f.watchers = append(f.watchers, &watcher.Watcher{
			Store: f.views[i], Decoder: fakeDecoder{}, Name: string(rune('a' + i)), Fleet: f, StreamOpener: f, BundleSink: f.recorders[i],
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for _, w := range f.watchers {
		done.Add(1)
		go (&runningWatcher{w, &done}).run(ctx)
	}
	t.Cleanup(func() { cancel(); done.Wait() })
	return f
}

// runningWatcher runs a watcher in a goroutine; stopped is done when it returned.
type runningWatcher struct {
	*watcher.Watcher
	stopped *sync.WaitGroup
}

func (r *runningWatcher) run(ctx context.Context) {
	defer r.stopped.Done()
	_ = r.Run(ctx)
}

// waitForServers waits until the list of each watcher has n backend servers.
func (f *fakeFleet) waitForServers(t *testing.T, what string, n int) {
	t.Helper()
	waitFor(t, what, func() bool {
		for _, w := range f.watchers {
			if l := w.List(); l == nil || len(l.Entries) != n {
				return false
			}
		}
		return true
	})
}

// TestFollowersShareReaders guards against instances that all read the store, and
// against changes that do not reach those that follow another instance.
func TestFollowersShareReaders(t *testing.T) {
	s := newFakeStore()
	s.putRecord("config", false)
	s.putRecord("s/one", false)
	f := newFakeFleet(t, s, 8)
	f.waitForServers(t, "first records", 1)
	s.putRecord("s/three", false)
	s.putRecord("s/bad", false)
	f.waitForServers(t, "a record that is written", 2)
	s.putRecord("s/one", true)
	f.waitForServers(t, "a record that is deleted", 1)
	for i := range f.recorders {
		if got := f.recorders[i].lastText(); got != "config" {
			t.Errorf("got bundle %q at instance %d, want that of the store", got, i)
		}
	}
	reading := 0
	for _, w := range f.watchers {
		if w.CallCount() > 1 { // Each instance reads all records once at its start.
			reading++
		}
	}
	if reading > 2 {
		t.Errorf("got %d instances that read the store, want 2", reading)
	}
}

// TestReadersLoseStore guards against instances that receive no changes because those
// that read the store lost contact to it, although one instance still reaches it.
func TestReadersLoseStore(t *testing.T) {
	s := newFakeStore()
	s.putRecord("s/one", false)
	f := newFakeFleet(t, s, 6)
	f.waitForServers(t, "first records", 1)
	for i := range f.views[:5] {
		f.views[i].setUnreachable(true)
	}
	s.putRecord("s/three", false)
	f.waitForServers(t, "a change with one instance that reaches the store", 2)
	for i := range f.views[:5] {
		f.views[i].setUnreachable(false)
	}
	s.putRecord("s/eleven", false)
	f.waitForServers(t, "a change after the cut", 3)
}

// TestCompactedHistory guards against missed changes when the store has compacted its
// history during a loss of contact.
func TestCompactedHistory(t *testing.T) {
	s := newFakeStore()
	s.putRecord("s/one", false)
	f := newFakeFleet(t, s, 2)
	f.waitForServers(t, "first records", 1)
	for _, v := range f.views {
		v.setUnreachable(true)
	}
	s.putRecord("s/three", false)
	s.mu.Lock()
	s.compactedRevision = s.revision
	s.mu.Unlock()
	for _, v := range f.views {
		v.setUnreachable(false)
	}
	f.waitForServers(t, "a change whose history is gone", 2)
}

// TestStartWithoutStore guards against a new instance that waits for an unreachable store
// although another instance has the records.
func TestStartWithoutStore(t *testing.T) {
	s := newFakeStore()
	s.putRecord("s/one", false)
	f := newFakeFleet(t, s, 1)
	f.waitForServers(t, "first records", 1)
	late := &watcher.Watcher{Store: &storeView{fakeStore: s, unreachable: true}, Decoder: fakeDecoder{}, Name: "late", Fleet: f, StreamOpener: f, BundleSink: new(bundleRecorder)}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(1)
	go (&runningWatcher{late, &done}).run(ctx)
	defer done.Wait()
	defer cancel()
	waitFor(t, "records of another instance", func() bool { return late.List() != nil && len(late.List().Entries) == 1 })
}

// TestConcurrentBundles guards against a bundle that is skipped because the other source
// delivers another change at the same time.
func TestConcurrentBundles(t *testing.T) {
	s := newFakeStore()
	s.putRecord("config", false)
	f := newFakeFleet(t, s, 4)
	f.waitForServers(t, "first records", 0)
	for i := range 40 {
		name := "s/" + strings.Repeat("x", i+1)
		s.putRecord(name, false)
		s.putRecord("config", false)
	}
	f.waitForServers(t, "all records", 40)
	s.mu.Lock()
	want := s.records["config"].Revision
	s.mu.Unlock()
	waitFor(t, "the last bundle", func() bool {
		for _, o := range f.recorders {
			if o.lastRevision() != want {
				return false
			}
		}
		return true
	})
}

// TestLongRefusal guards against changes that are delayed because an instance returns
// again and again to a source that the store refuses for a long time, or because both
// readers of an instance use the same source.
func TestLongRefusal(t *testing.T) {
	s := newFakeStore()
	s.putRecord("s/one", false)
	f := newFakeFleet(t, s, 6)
	f.waitForServers(t, "first records", 1)
	for i := range 3 {
		f.views[i].setUnreachable(true)
	}
	end := time.Now().Add(4 * time.Second) // Longer than the time for which a source is first avoided.
	for n := 2; time.Now().Before(end); n++ {
		s.putRecord("s/"+strings.Repeat("x", n+10), false)
		f.waitForServers(t, "a change while half of the instances are turned away", n)
	}
}

// TestPagedStart guards against records that are lost because a change happens between
// the pages of the first read.
func TestPagedStart(t *testing.T) {
	s := newFakeStore()
	s.pageSize = 2
	for n := range 9 {
		s.putRecord("s/"+strings.Repeat("x", n+1), false)
	}
	f := newFakeFleet(t, s, 3)
	s.putRecord("s/x", true)
	f.waitForServers(t, "all pages", 8)
}
