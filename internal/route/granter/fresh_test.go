package granter_test

import (
	"container/heap"
	"net/netip"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/route/granter"
	"sardinelever.example/sardinelever/internal/route/mapper"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// The load that these tests replay: machines of backend servers are shared, so
// a share of them works several times slower at any moment, and which ones
// changes every half second. Probes take a millisecond.
const (
	noiseShare  = 0.3
	noisePace   = 7.0
	noisePeriod = 500 * time.Millisecond
	noiseWork   = 100 * time.Millisecond
	noiseTarget = 250 * time.Millisecond
	noiseLimit  = 800 * time.Millisecond
	probeTime   = time.Millisecond
)

// replay drives one pool in virtual time; it owns every ask.
type replay struct {
	*simulation
	pool   *granter.Pool
	pace   map[netip.AddrPort]float64
	dead   map[netip.AddrPort]bool // Probes of these fail.
	sent   map[uint64]time.Time
	queued map[uint64]bool

	probes, onTime, late, refused int
	longest                       time.Duration // Longest wait of a refused ask.
	granted                       map[netip.AddrPort]int

	shapes  map[uint64]shape       // Of asks that are not like noise.
	foreign map[netip.AddrPort]int // Calls at a server that the pool did not grant.
	running map[netip.AddrPort]int // Calls at a server that the pool granted.
	knee    float64                // Factor on the work of a call that makes a server nearly full; 0 means none.
	kinds   map[string]*[2]int     // Calls on time and all, by route.
}

// shape is a kind of calls.
type shape struct {
	route               string
	work, target, limit time.Duration
}

// noise is the shape of the calls of most tests.
var noise = shape{"", noiseWork, noiseTarget, noiseLimit}

func (r *replay) shape(number uint64) shape {
	if s, ok := r.shapes[number]; ok {
		return s
	}
	return noise
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 8080)
}

// newReplay returns a pool of n servers that probes when fresh is above 0.
func newReplay(n, slots int, fresh time.Duration) *replay {
	r := &replay{
		simulation: newSimulation(0, 1), pace: make(map[netip.AddrPort]float64), dead: make(map[netip.AddrPort]bool),
		sent: make(map[uint64]time.Time), queued: make(map[uint64]bool), granted: make(map[netip.AddrPort]int),
		shapes: make(map[uint64]shape), foreign: make(map[netip.AddrPort]int), running: make(map[netip.AddrPort]int),
		kinds: make(map[string]*[2]int),
	}
	r.pool = &granter.Pool{Key: granter.Key{Service: "s", Zone: "a"}, Jitter: func() float64 { return 1 }}
	r.pool.Sample = r.probe
	r.sync(n, slots, fresh)
	return r
}

func (r *replay) sync(n, slots int, fresh time.Duration) {
	l := &reader.List{}
	for i := range n {
		l.Entries = append(l.Entries, reader.Entry{Name: addr(i).String(), Address: addr(i), Zone: "a", Service: "s", Slots: slots})
		if r.pace[addr(i)] == 0 {
			r.pace[addr(i)] = 1
		}
	}
	b := &parser.Bundle{Version: 1, Services: []parser.Service{{Name: "s", Slots: 1, Probe: parser.Probe{Fresh: parser.Duration(fresh)}}}}
	r.pool.Sync(r.now, mapper.Join(b, l))
}

// pass handles all events of a time.
func (r *replay) pass(d time.Duration) {
	end := r.now.Add(d)
	for len(r.queue) > 0 && !r.queue[0].at.After(end) {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.do()
	}
	r.now = end
}

func (r *replay) tick() {
	r.pool.Tick(r.now)
	r.after(5*time.Millisecond, r.tick)
}

func (r *replay) probe(s *tracker.Server) {
	r.probes++
	at := s.Address
	r.after(probeTime, func() {
		f := tracker.Figure{Result: tracker.Result{Busy: r.running[at] + r.foreign[at], Failed: r.dead[at], Pace: r.pace[at]}, Age: probeTime / 2}
		if f.Failed {
			f.Pace = 0
		}
		r.pool.Observe(r.now, at, f)
	})
}

// shuffle changes which servers are slow.
func (r *replay) shuffle() {
	for at := range r.pace {
		r.pace[at] = 1
		if r.rand.Float64() < noiseShare {
			r.pace[at] = noisePace
		}
	}
	r.after(noisePeriod, r.shuffle)
}

func (r *replay) ask(number uint64) {
	r.sent[number] = r.now
	s := r.shape(number)
	if r.kinds[s.route] == nil {
		r.kinds[s.route] = new([2]int)
	}
	r.kinds[s.route][1]++
	r.pool.Ask(r.now, granter.Ask{
		ID: granter.ID{Owner: r, Number: number}, Rank: parser.Normal, Route: s.route,
		Target: r.now.Add(s.target), Deadline: r.now.Add(s.limit),
	})
}

// flood sends asks at a rate for a time.
func (r *replay) flood(perSecond float64, d time.Duration) { r.floodOf(noise, perSecond, d) }

// floodOf sends asks of a shape at a rate for a time.
func (r *replay) floodOf(s shape, perSecond float64, d time.Duration) {
	number := uint64(len(r.shapes)) << 32
	for at := time.Duration(0); at < d; at += time.Duration(r.rand.ExpFloat64() / perSecond * float64(time.Second)) {
		number++
		n := number
		r.shapes[n] = s
		r.after(at, func() { r.ask(n) })
	}
}

// Receive takes the reply of the pool; a granted call runs at once.
func (r *replay) Receive(reply granter.Reply) {
	number := reply.Number
	switch reply.Kind {
	case granter.Queued:
		r.queued[number] = true
	case granter.Refused:
		r.refused++
		r.longest = max(r.longest, r.now.Sub(r.sent[number]))
	case granter.Offered:
		r.granted[reply.Server]++
		s := r.shape(number)
		took := time.Duration(float64(s.work) * r.pace[reply.Server] * (0.7 + 0.6*r.rand.Float64()))
		r.running[reply.Server]++
		if r.knee > 0 && float64(r.running[reply.Server]) > 0.8*6 {
			took = time.Duration(r.knee * float64(took))
		}
		r.after(took, func() {
			r.running[reply.Server]--
			if r.now.Sub(r.sent[number]) <= s.target {
				r.onTime++
				r.kinds[s.route][0]++
			} else {
				r.late++
			}
			r.pool.Done(r.now, granter.ID{Owner: r, Number: number}, tracker.Result{Busy: -1, Latency: took})
		})
	}
}

func (r *replay) share() float64 { return float64(r.onTime) / float64(r.onTime+r.late+r.refused) }

// TestNoise guards against a choice of backend servers that does not notice
// which ones are slow at the moment: it replays half the load of the calm servers.
func TestNoise(t *testing.T) {
	shares := make(map[time.Duration]float64)
	for _, fresh := range []time.Duration{0, 30 * time.Millisecond} {
		r := newReplay(18, 2, fresh)
		r.shuffle()
		r.tick()
		r.flood(120, 20*time.Second)
		r.pass(22 * time.Second)
		shares[fresh] = r.share()
		if most := 3 * len(r.sent); r.probes > most {
			t.Errorf("got %d probes for %d asks, want at most %d", r.probes, len(r.sent), most)
		}
	}
	if got, want := shares[30*time.Millisecond], 0.95; got < want {
		t.Errorf("got %.3f on time with fresh reports, want %v", got, want)
	}
	if got, other := shares[30*time.Millisecond], shares[0]; got < other+0.1 {
		t.Errorf("got %.3f on time with fresh reports, %.3f without, want 0.1 more", got, other)
	}
}

// TestFlood guards against a queue that makes every call late, or that holds
// calls until their deadlines, when twice as many arrive as can be served.
func TestFlood(t *testing.T) {
	r := newReplay(9, 2, 30*time.Millisecond)
	r.shuffle()
	r.tick()
	capacity := 18 * (1 - noiseShare) / noiseWork.Seconds()
	r.flood(2*capacity, 10*time.Second)
	r.pass(12 * time.Second)
	if got, want := float64(r.onTime), 0.75*capacity*10; got < want {
		t.Errorf("got %v calls on time, want %v", got, want)
	}
	if got := float64(r.late) / float64(r.onTime); got > 0.15 {
		t.Errorf("got %.2f late calls for each on time, want 0.15", got)
	}
	if got, want := r.longest, noiseTarget; got > want {
		t.Errorf("got a refusal after a wait of %v, want at most the target %v", got, want)
	}
	if n := r.pool.Waiting(); n != 0 {
		t.Errorf("got %d asks that still wait, want 0", n)
	}
}

// TestSlowSlot guards against a call that is granted a slot on which it misses
// its target, and against one that never gets the slot once its server recovers.
func TestSlowSlot(t *testing.T) {
	r := newReplay(1, 1, 30*time.Millisecond)
	r.tick()
	for n := range uint64(5) { // Teaches the pool the work of a call.
		r.ask(n)
		r.pass(200 * time.Millisecond)
	}
	r.pace[addr(0)] = noisePace
	r.ask(100)
	r.pass(50 * time.Millisecond)
	if got := r.granted[addr(0)]; got != 5 {
		t.Fatalf("got %d grants, want 5: none while the server is slow", got)
	}
	if !r.queued[100] {
		t.Error("got no word that the ask waits, want one so that other homes are asked")
	}
	r.pace[addr(0)] = 1
	r.pass(150 * time.Millisecond)
	if got := r.granted[addr(0)]; got != 6 {
		t.Errorf("got %d grants after the server recovered, want 6", got)
	}
}

// TestProbing guards against homes of other zones that are asked, at the price
// of bytes between zones, while a probe is about to bring a slot here.
func TestProbing(t *testing.T) {
	r := newReplay(4, 2, 30*time.Millisecond)
	r.ask(1)
	if r.queued[1] {
		t.Error("got a word that the ask waits, want none while probes are under way")
	}
	r.pass(5 * time.Millisecond)
	if got := len(r.granted); got != 1 {
		t.Errorf("got %d servers with a grant, want 1", got)
	}
}

// TestProbesFail guards against asks that starve because no probe is answered.
func TestProbesFail(t *testing.T) {
	r := newReplay(2, 1, 30*time.Millisecond)
	r.tick()
	r.dead[addr(0)], r.dead[addr(1)] = true, true
	r.ask(1)
	r.pass(150 * time.Millisecond)
	if len(r.granted) != 1 {
		t.Errorf("got no grant, want one to a server of which nothing is known")
	}
}

// TestSlowStart guards against a server that joins slowly and then gets no work
// because of its first report.
func TestSlowStart(t *testing.T) {
	r := newReplay(4, 2, 30*time.Millisecond)
	r.tick()
	r.flood(20, 8*time.Second)
	r.pass(time.Second)
	r.pace[addr(4)] = 3
	r.sync(5, 2, 30*time.Millisecond)
	r.pass(3 * time.Second)
	r.pace[addr(4)] = 1
	r.pass(4 * time.Second)
	if r.granted[addr(4)] == 0 {
		t.Error("got no grant to the server that joined, want some")
	}
}

// TestHopeless guards against an ask that waits although it cannot be served
// before its deadline.
func TestHopeless(t *testing.T) {
	r := newReplay(1, 1, 30*time.Millisecond)
	r.tick()
	for n := range uint64(5) {
		r.ask(n)
		r.pass(200 * time.Millisecond)
	}
	r.sent[100] = r.now
	r.pool.Ask(r.now, granter.Ask{ID: granter.ID{Owner: r, Number: 100}, Rank: parser.Normal, Deadline: r.now.Add(noiseWork / 4)})
	if r.refused != 1 || r.longest != 0 {
		t.Errorf("got %d refusals after %v, want 1 at once", r.refused, r.longest)
	}
}

// TestReplaced guards against slots of a new process that are counted with the
// calls of the earlier one at the same address.
func TestReplaced(t *testing.T) {
	r := newReplay(1, 1, 0)
	r.ask(1)
	if r.granted[addr(0)] != 1 {
		t.Fatal("got no grant, want one")
	}
	l := &reader.List{Entries: []reader.Entry{{Name: "other", Address: addr(0), Zone: "a", Service: "s", Slots: 1}}}
	r.pool.Sync(r.now, mapper.Join(&parser.Bundle{Version: 2, Services: []parser.Service{{Name: "s", Slots: 1}}}, l))
	r.ask(2)
	if got := r.granted[addr(0)]; got != 2 {
		t.Errorf("got %d grants, want 2: the new process is free", got)
	}
}
