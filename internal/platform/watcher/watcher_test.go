package watcher_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// limit is the deadline of whole tests; nothing asserts a shorter time.
const limit = 20 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

var errAway = errors.New("store is away")

// store is a stand-in of a platform's store.
type store struct {
	mu      sync.Mutex
	records map[string]watcher.Record
	at      uint64
	floor   uint64 // Changes up to this revision are forgotten.
	calls   int
	changed chan struct{}
}

func newStore() *store {
	return &store{records: make(map[string]watcher.Record), changed: make(chan struct{})}
}

func (s *store) put(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	s.records[key] = watcher.Record{Key: key, Value: []byte(key), Revision: s.at, Deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) since(after uint64, live bool) watcher.Batch {
	b := watcher.Batch{At: s.at}
	for _, r := range s.records {
		if r.Revision > after && !(live && r.Deleted) {
			b.Records = append(b.Records, r)
		}
	}
	return b
}

// view is the store as one instance reaches it.
type view struct {
	*store
	mu   sync.Mutex
	away bool
}

func (v *view) cut(away bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.away = away
}

func (v *view) reach() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.away {
		return errAway
	}
	return nil
}

func (v *view) Range(context.Context, bool) (watcher.Batch, error) {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	v.calls++
	return v.since(0, true), v.reach()
}

func (v *view) Watch(ctx context.Context, after uint64, wait time.Duration) (watcher.Batch, error) {
	if err := v.reach(); err != nil {
		return watcher.Batch{}, err
	}
	v.store.mu.Lock()
	v.calls++
	b, changed, floor := v.since(after, false), v.changed, v.floor
	v.store.mu.Unlock()
	if after < floor {
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
	if err := v.reach(); err != nil {
		return watcher.Batch{}, err
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	return v.since(after, false), nil
}

// decoder takes each record below s/ for a backend server.
type decoder struct{}

func (decoder) Bundle(r watcher.Record) ([]byte, error) {
	if r.Key != "config" {
		return nil, nil
	}
	return fmt.Appendf(nil, "%s %d", r.Value, r.Revision), nil
}

func (decoder) Entry(r watcher.Record) (reader.Entry, bool, error) {
	name, ok := strings.CutPrefix(r.Key, "s/")
	if ok && strings.HasPrefix(name, "bad") {
		return reader.Entry{}, false, errors.New("malformed")
	}
	port := uint16(len(name))
	return reader.Entry{Name: name, Service: "s", Address: netip.AddrPortFrom(netip.IPv6LinkLocalAllNodes(), port)}, ok, nil
}

// offers keeps the last offered text.
type offers struct {
	mu       sync.Mutex
	text     string
	revision uint64
}

func (o *offers) Offer(text []byte, _ string) (bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, _ = fmt.Sscan(string(text), &o.text, &o.revision)
	return true, nil
}

func (o *offers) newest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.revision
}

func (o *offers) last() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text
}

// fleet joins watchers by pipes; member i listens at port i + 1.
type fleet struct {
	watchers []*watcher.Watcher
	views    []*view
	offers   []*offers
}

func (f *fleet) Usable(_, _ string) []registrar.Member {
	var out []registrar.Member
	for i, w := range f.watchers {
		out = append(out, registrar.Member{Name: w.Name, Peer: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))})
	}
	return out
}

func (f *fleet) Open(_ context.Context, peer netip.AddrPort, _ linker.StreamKind) (net.Conn, error) {
	a, b := net.Pipe()
	go f.watchers[peer.Port()-1].Serve(linker.Hello{}, b)
	return a, nil
}

func newFleet(t *testing.T, s *store, n int) *fleet {
	f := new(fleet)
	for i := range n {
		f.views, f.offers = append(f.views, &view{store: s}), append(f.offers, new(offers))
		f.watchers = append(f.watchers, &watcher.Watcher{
			Store: f.views[i], Decoder: decoder{}, Name: string(rune('a' + i)), Fleet: f, Links: f, Keeper: f.offers[i],
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for _, w := range f.watchers {
		done.Add(1)
		go (&running{w, &done}).run(ctx)
	}
	t.Cleanup(func() { cancel(); done.Wait() })
	return f
}

type running struct {
	*watcher.Watcher
	done *sync.WaitGroup
}

func (r *running) run(ctx context.Context) {
	defer r.done.Done()
	_ = r.Run(ctx)
}

func (f *fleet) everywhere(t *testing.T, what string, n int) {
	t.Helper()
	eventually(t, what, func() bool {
		for _, w := range f.watchers {
			if l := w.List(); l == nil || len(l.Entries) != n {
				return false
			}
		}
		return true
	})
}

// TestFollow guards against calls to the store by each instance, and against
// changes that do not reach those that follow.
func TestFollow(t *testing.T) {
	s := newStore()
	s.put("config", false)
	s.put("s/one", false)
	f := newFleet(t, s, 8)
	f.everywhere(t, "first records", 1)
	s.put("s/three", false)
	s.put("s/bad", false)
	f.everywhere(t, "a record that is written", 2)
	s.put("s/one", true)
	f.everywhere(t, "a record that is deleted", 1)
	for i := range f.offers {
		if got := f.offers[i].last(); got != "config" {
			t.Errorf("got bundle %q at instance %d, want that of the store", got, i)
		}
	}
	reading := 0
	for _, w := range f.watchers {
		if w.Calls() > 1 { // The first call is that of the start.
			reading++
		}
	}
	if reading > 2 {
		t.Errorf("got %d instances that read the store, want 2", reading)
	}
}

// TestCut guards against instances without new records because those that read
// the store were cut off from it, one or all but one of them.
func TestCut(t *testing.T) {
	s := newStore()
	s.put("s/one", false)
	f := newFleet(t, s, 6)
	f.everywhere(t, "first records", 1)
	for i := range f.views[:5] {
		f.views[i].cut(true)
	}
	s.put("s/three", false)
	f.everywhere(t, "a change with one instance that reaches the store", 2)
	for i := range f.views[:5] {
		f.views[i].cut(false)
	}
	s.put("s/eleven", false)
	f.everywhere(t, "a change after the cut", 3)
}

// TestCompacted guards against changes that are missed because the store has
// dropped its history.
func TestCompacted(t *testing.T) {
	s := newStore()
	s.put("s/one", false)
	f := newFleet(t, s, 2)
	f.everywhere(t, "first records", 1)
	for _, v := range f.views {
		v.cut(true)
	}
	s.put("s/three", false)
	s.mu.Lock()
	s.floor = s.at
	s.mu.Unlock()
	for _, v := range f.views {
		v.cut(false)
	}
	f.everywhere(t, "a change whose history is gone", 2)
}

// TestAlone guards against an instance that waits for the store when another
// one has the records.
func TestAlone(t *testing.T) {
	s := newStore()
	s.put("s/one", false)
	f := newFleet(t, s, 1)
	f.everywhere(t, "first records", 1)
	late := &watcher.Watcher{Store: &view{store: s, away: true}, Decoder: decoder{}, Name: "late", Fleet: f, Links: f, Keeper: new(offers)}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(1)
	go (&running{late, &done}).run(ctx)
	defer done.Wait()
	defer cancel()
	eventually(t, "records of another instance", func() bool { return late.List() != nil && len(late.List().Entries) == 1 })
}

// TestBundles guards against a bundle that is passed over because another
// change is read at the same time from the other source.
func TestBundles(t *testing.T) {
	s := newStore()
	s.put("config", false)
	f := newFleet(t, s, 4)
	f.everywhere(t, "first records", 0)
	for i := range 40 {
		name := "s/" + strings.Repeat("x", i+1)
		s.put(name, false)
		s.put("config", false)
	}
	f.everywhere(t, "all records", 40)
	s.mu.Lock()
	want := s.records["config"].Revision
	s.mu.Unlock()
	eventually(t, "the last bundle", func() bool {
		for _, o := range f.offers {
			if o.newest() != want {
				return false
			}
		}
		return true
	})
}

// TestRefusedLong guards against an instance that goes back again and again to
// a source that the store turns away for long, and against two lanes with one source.
func TestRefusedLong(t *testing.T) {
	s := newStore()
	s.put("s/one", false)
	f := newFleet(t, s, 6)
	f.everywhere(t, "first records", 1)
	for i := range 3 {
		f.views[i].cut(true)
	}
	end := time.Now().Add(4 * time.Second) // Longer than the first time for which a source is avoided.
	for n := 2; time.Now().Before(end); n++ {
		s.put("s/"+strings.Repeat("x", n+10), false)
		f.everywhere(t, "a change while half of the instances are turned away", n)
	}
}
