package watcher_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// maxChangeDelay is the time within which a change has to reach every instance that
// can be reached: the shortest time of all deployments in which a configuration must be
// in force and a backend server that left must get no calls.
const maxChangeDelay = 2 * time.Second

// zonedFleet is a fleet of watchers in five zones, in virtual time.
type zonedFleet struct {
	store   *fakeStore
	members []registrar.Member
	nodes   []*zonedInstance
	nodesMu sync.Mutex // Held while an instance is replaced or looked up by another one.
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	linkRate int                             // Bytes in each second on a feed; 0 means no limit.
	prepare  func(i int, w *watcher.Watcher) // Changes the watcher of instance i before it runs; nil means none.
}

// node returns the instance with index i.
func (f *zonedFleet) node(i int) *zonedInstance {
	f.nodesMu.Lock()
	defer f.nodesMu.Unlock()
	return f.nodes[i]
}

// zonedInstance is an instance of a zonedFleet. It implements watcher.Store and
// watcher.StreamOpener.
type zonedInstance struct {
	*watcher.Watcher
	fleet   *zonedFleet
	mu      sync.Mutex
	refusal refusal
	silent  atomic.Bool    // All its streams lose what is sent.
	earlier *watcher.Batch // What stale reads return; nil means the records as they are.
	ctx     context.Context
	stop    context.CancelFunc
}

// refusal is how the store treats one instance.
type refusal int

const (
	served    refusal = iota
	refused           // Each call fails at once.
	forgotten         // No call is answered.
)

func newZonedFleet(n int) *zonedFleet {
	f := &zonedFleet{store: newFakeStore(), members: zonedMembers(n)}
	f.store.putRecord("s/one", false)
	for i := range f.members {
		f.members[i].PeerAddr = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
		f.nodes = append(f.nodes, &zonedInstance{fleet: f})
	}
	f.start()
	return f
}

// start starts all instances; none of them may run.
func (f *zonedFleet) start() {
	f.ctx, f.stop = context.WithCancel(context.Background())
	for i, x := range f.nodes {
		f.newWatcher(i, x)
	}
	for _, x := range f.nodes {
		f.running.Add(1)
		go (&runningWatcher{x.Watcher, &f.running}).run(x.ctx)
	}
}

// newWatcher prepares x to run as the instance with index i.
func (f *zonedFleet) newWatcher(i int, x *zonedInstance) {
	x.Watcher = &watcher.Watcher{
		Store: x, Decoder: fakeDecoder{}, Name: f.members[i].Name, Zone: f.members[i].Zone, Region: "r", Fleet: f, StreamOpener: x, BundleSink: new(bundleRecorder), Log: &discardLogger,
	}
	x.ctx, x.stop = context.WithCancel(f.ctx)
	if f.prepare != nil {
		f.prepare(i, x.Watcher)
	}
}

func (f *zonedFleet) UsableMembers(_, _ string) []registrar.Member { return f.members }

// ReadPage implements watcher.Store.
func (x *zonedInstance) ReadPage(ctx context.Context, after string, stale bool) (watcher.Page, error) {
	if err := x.await(ctx); err != nil {
		return watcher.Page{}, err
	}
	if stale && x.earlier != nil {
		return watcher.Page{Batch: *x.earlier}, nil
	}
	return (&storeView{fakeStore: x.fleet.store}).ReadPage(ctx, after, stale)
}

// Watch implements watcher.Store.
func (x *zonedInstance) Watch(ctx context.Context, after uint64, wait time.Duration) (watcher.Batch, error) {
	if err := x.await(ctx); err != nil {
		return watcher.Batch{}, err
	}
	b, err := (&storeView{fakeStore: x.fleet.store}).Watch(ctx, after, 20*wait)
	if err == nil {
		err = x.await(ctx) // A pending watch is lost too.
	}
	return b, err
}

// await returns after the time that the store takes, or an error if it does not serve
// this instance.
func (x *zonedInstance) await(ctx context.Context) error {
	time.Sleep(4 * time.Millisecond)
	switch x.currentRefusal() {
	case refused:
		return errUnreachable
	case forgotten:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (x *zonedInstance) currentRefusal() refusal {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.refusal
}

func (x *zonedInstance) setRefusal(r refusal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refusal = r
}

// OpenStream implements watcher.StreamOpener.
func (x *zonedInstance) OpenStream(ctx context.Context, peer netip.AddrPort, _ connector.StreamKind) (net.Conn, error) {
	time.Sleep(2 * time.Millisecond)
	y := x.fleet.node(int(peer.Port() - 1))
	if x.silent.Load() || y.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a, b := net.Pipe()
	y.fleet.running.Add(1)
	var served net.Conn = &lossyConn{b, x, y}
	if rate := x.fleet.linkRate; rate > 0 {
		served = &slowLinkConn{served, rate}
	}
	go y.runStream(served)
	return &lossyConn{a, x, y}, nil
}

// runStream serves one stream.
func (x *zonedInstance) runStream(conn net.Conn) {
	defer x.fleet.running.Done()
	x.ServeStream(connector.Hello{}, conn)
}

// lossyConn loses what is written while one of its ends is silent.
type lossyConn struct {
	net.Conn
	x, y *zonedInstance
}

func (c *lossyConn) Write(p []byte) (int, error) {
	if c.x.silent.Load() || c.y.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// missing returns the names of the instances that are not silent and lack the newest change.
func (f *zonedFleet) missing() (names []string) {
	f.store.mu.Lock()
	newest := watcher.Position{Epoch: f.store.epoch, Revision: f.store.revision}
	f.store.mu.Unlock()
	for _, x := range f.nodes {
		if !x.silent.Load() && x.Position().Compare(newest) < 0 {
			names = append(names, x.Name)
		}
	}
	return names
}

// changeDelay writes a record and returns the time until all instances have it.
func (f *zonedFleet) changeDelay(t *testing.T, key string) time.Duration {
	t.Helper()
	f.store.putRecord(key, false)
	start := time.Now()
	for len(f.missing()) > 0 {
		time.Sleep(10 * time.Millisecond)
		if time.Since(start) > 20*time.Second {
			t.Fatalf("got %d instances without %s after 20 s, want none", len(f.missing()), key)
		}
	}
	return time.Since(start)
}

// storeFault makes the store fail for the instances for which choose returns true.
func (f *zonedFleet) storeFault(r refusal, choose func(i int) bool) {
	for i, x := range f.nodes {
		if choose(i) {
			x.setRefusal(r)
		}
	}
}

// sourcesInUse returns the names of the instances that others follow or that read the store.
func (f *zonedFleet) sourcesInUse() map[string]bool {
	names := make(map[string]bool)
	for _, sources := range sourcesOf(f.members, func(string) bool { return false }) {
		names[sources[0]], names[sources[1]] = true, true
	}
	return names
}

// TestAgeBound guards against instances that miss a change for longer than
// maxChangeDelay because those that they follow fail: instances that the store turns
// away, among them all that read it; relays that stand still; and both at once.
func TestAgeBound(t *testing.T) {
	for _, c := range []struct {
		n     int
		seeds []uint64
	}{{16, []uint64{0, 1, 2, 3, 4, 5}}, {107, []uint64{0, 1, 2, 3, 4, 5}}, {312, []uint64{0, 1, 2, 3}}} {
		for _, seed := range c.seeds {
			for _, kind := range []refusal{refused, forgotten} {
				for _, frozen := range []bool{false, true} {
					name := fmt.Sprintf("%d/%d/%d/%t", c.n, seed, kind, frozen)
					t.Run(name, func(t *testing.T) { synctest.Test(t, (&ageTrial{c.n, seed, kind, frozen}).run) })
				}
			}
		}
	}
}

// ageTrial is one case of TestAgeBound.
type ageTrial struct {
	n      int
	seed   uint64
	kind   refusal
	frozen bool // One relay of each zone stands still.
}

func (a *ageTrial) run(t *testing.T) {
	f := newZonedFleet(a.n)
	defer func() { f.stop(); f.running.Wait() }()
	random := rand.New(rand.NewPCG(a.seed, 0))
	time.Sleep(5 * time.Second)
	time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	inUse := f.sourcesInUse()
	zones := make(map[string]bool)
	f.storeFault(a.kind, func(i int) bool {
		return inUse[f.members[i].Name] && i%2 == 0 || random.Float64() < 0.35
	})
	for i, x := range f.nodes {
		if m := f.members[i]; a.frozen && inUse[m.Name] && !zones[m.Zone] {
			zones[m.Zone] = true
			x.silent.Store(true)
		}
	}
	var delays []time.Duration
	for c := range 8 {
		delays = append(delays, f.changeDelay(t, fmt.Sprint("s/", c)))
		time.Sleep(time.Duration(random.Int64N(int64(600 * time.Millisecond))))
	}
	f.storeFault(served, func(int) bool { return true })
	for _, x := range f.nodes {
		x.silent.Store(false)
	}
	delays = append(delays, f.changeDelay(t, "s/last"))
	if got := slices.Max(delays); got > maxChangeDelay {
		t.Errorf("got delays %v, want at most %v", delays, maxChangeDelay)
	}
}

// discardLogger drops all lines.
var discardLogger = log.Logger{Level: log.ErrorLevel, Writer: log.IOWriter{Writer: io.Discard}}
