package allocator_test

import (
	"container/heap"
	"net/netip"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Load of the tests in this file. Backend servers share their machines, so a
// share of them is several times slower at any moment, and which ones changes
// every half second. A probe takes a millisecond.
const (
	slowServerShare    = 0.3
	slowServerSlowdown = 7.0
	slowServerPeriod   = 500 * time.Millisecond
	defaultWork        = 100 * time.Millisecond
	defaultTarget      = 250 * time.Millisecond
	defaultTimeout     = 800 * time.Millisecond
	probeDuration      = time.Millisecond
)

// poolSimulation simulates calls to one pool in virtual time. It is the owner
// of all slot requests.
type poolSimulation struct {
	*simulation
	pool          *allocator.Pool
	slowdown      map[netip.AddrPort]float64
	failingProbes map[netip.AddrPort]bool // Servers whose probes fail.
	sentAt        map[uint64]time.Time
	queued        map[uint64]bool

	probes, onTime, late, refused int
	longestRefusedWait            time.Duration // Longest wait of a refused request.
	grants                        map[netip.AddrPort]int

	callTypes        map[uint64]callType    // By request number, for calls that are not of defaultCallType.
	externalInFlight map[netip.AddrPort]int // Calls in flight on a server that the pool did not grant.
	grantedInFlight  map[netip.AddrPort]int // Calls in flight on a server that the pool granted.
	bulk             bool                   // The configuration has bulk rules.
	nearlyFullFactor float64                // Factor on the work of a call that makes a server nearly full; 0 means no slowdown.
	routeCounts      map[string]*[2]int     // Calls on time and all calls, by route.
}

// callType is a type of call with its mean work, target and timeout.
type callType struct {
	route                 string
	work, target, timeout time.Duration
}

// defaultCallType is the type of the calls in most tests.
var defaultCallType = callType{"", defaultWork, defaultTarget, defaultTimeout}

func (p *poolSimulation) callTypeOf(number uint64) callType {
	if c, ok := p.callTypes[number]; ok {
		return c
	}
	return defaultCallType
}

func serverAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 8080)
}

// newPoolSimulation returns a simulation of a pool of n servers, which probes
// them if fresh is greater than 0.
func newPoolSimulation(n, slots int, fresh time.Duration) *poolSimulation {
	p := &poolSimulation{
		simulation: newSimulation(0, 1), slowdown: make(map[netip.AddrPort]float64), failingProbes: make(map[netip.AddrPort]bool),
		sentAt: make(map[uint64]time.Time), queued: make(map[uint64]bool), grants: make(map[netip.AddrPort]int),
		callTypes: make(map[uint64]callType), externalInFlight: make(map[netip.AddrPort]int), grantedInFlight: make(map[netip.AddrPort]int),
		routeCounts: make(map[string]*[2]int),
	}
	p.pool = &allocator.Pool{Key: allocator.PoolKey{Service: "s", Zone: "a"}, Jitter: func() float64 { return 1 }}
	p.pool.StartProbe = p.startProbe
	p.syncServers(n, slots, fresh)
	return p
}

func (p *poolSimulation) syncServers(n, slots int, fresh time.Duration) {
	l := &reader.List{}
	for i := range n {
		l.Entries = append(l.Entries, reader.Entry{Name: serverAddr(i).String(), Address: serverAddr(i), Zone: "a", Service: "s", Slots: slots})
		if p.slowdown[serverAddr(i)] == 0 {
			p.slowdown[serverAddr(i)] = 1
		}
	}
	b := &parser.Bundle{Version: 1, Rules: []parser.Rule{{Bulk: p.bulk}}, Services: []parser.Service{{Name: "s", Slots: 1, Probe: parser.Probe{Fresh: parser.Duration(fresh)}}}}
	p.pool.ApplyTable(p.now, router.NewRoutingTable(b, l))
}

// advance moves the virtual time forward by d and runs the events that fall
// due.
func (p *poolSimulation) advance(d time.Duration) {
	end := p.now.Add(d)
	for len(p.queue) > 0 && !p.queue[0].at.After(end) {
		e := heap.Pop(&p.queue).(event)
		p.now = e.at
		e.do()
	}
	p.now = end
}

func (p *poolSimulation) tickPool() {
	p.pool.Tick(p.now)
	p.schedule(5*time.Millisecond, p.tickPool)
}

func (p *poolSimulation) startProbe(s *tracker.Server) {
	p.probes++
	addr := s.Address
	p.schedule(probeDuration, func() {
		r := tracker.ProbeResult{Result: tracker.Result{ReportedCalls: p.grantedInFlight[addr] + p.externalInFlight[addr], Failed: p.failingProbes[addr], Slowdown: p.slowdown[addr]}, Age: probeDuration / 2}
		if r.Failed {
			r.Slowdown = 0
		}
		p.pool.RecordProbe(p.now, addr, r)
	})
}

// changeSlowServers selects at random which servers are slow, now and every
// slowServerPeriod.
func (p *poolSimulation) changeSlowServers() {
	for addr := range p.slowdown {
		p.slowdown[addr] = 1
		if p.rng.Float64() < slowServerShare {
			p.slowdown[addr] = slowServerSlowdown
		}
	}
	p.schedule(slowServerPeriod, p.changeSlowServers)
}

func (p *poolSimulation) requestSlot(number uint64) {
	p.sentAt[number] = p.now
	c := p.callTypeOf(number)
	if p.routeCounts[c.route] == nil {
		p.routeCounts[c.route] = new([2]int)
	}
	p.routeCounts[c.route][1]++
	p.pool.RequestSlot(p.now, allocator.SlotRequest{
		ID: allocator.ID{Owner: p, Number: number}, Rank: parser.Normal, Route: c.route,
		Target: p.now.Add(c.target), Deadline: p.now.Add(c.timeout),
	})
}

// sendRequests schedules slot requests of defaultCallType at a mean rate for
// the duration d.
func (p *poolSimulation) sendRequests(perSecond float64, d time.Duration) {
	p.sendRequestsOf(defaultCallType, perSecond, d)
}

// sendRequestsOf schedules slot requests of a call type at a mean rate for the
// duration d.
func (p *poolSimulation) sendRequestsOf(c callType, perSecond float64, d time.Duration) {
	number := uint64(len(p.callTypes)) << 32
	for at := time.Duration(0); at < d; at += time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		number++
		n := number
		p.callTypes[n] = c
		p.schedule(at, func() { p.requestSlot(n) })
	}
}

// ReceiveReply records the reply of the pool. A granted call starts at once.
func (p *poolSimulation) ReceiveReply(reply allocator.Reply) {
	number := reply.Number
	switch reply.Kind {
	case allocator.ReplyQueued:
		p.queued[number] = true
	case allocator.ReplyRefused:
		p.refused++
		p.longestRefusedWait = max(p.longestRefusedWait, p.now.Sub(p.sentAt[number]))
	case allocator.ReplyOffered:
		p.grants[reply.Server]++
		c := p.callTypeOf(number)
		took := time.Duration(float64(c.work) * p.slowdown[reply.Server] * (0.7 + 0.6*p.rng.Float64()))
		p.grantedInFlight[reply.Server]++
		if p.nearlyFullFactor > 0 && float64(p.grantedInFlight[reply.Server]) > 0.8*6 {
			took = time.Duration(p.nearlyFullFactor * float64(took))
		}
		p.schedule(took, func() {
			p.grantedInFlight[reply.Server]--
			if p.now.Sub(p.sentAt[number]) <= c.target {
				p.onTime++
				p.routeCounts[c.route][0]++
			} else {
				p.late++
			}
			p.pool.ReleaseSlot(p.now, allocator.ID{Owner: p, Number: number}, tracker.Result{ReportedCalls: -1, Latency: took})
		})
	}
}

func (p *poolSimulation) onTimeShare() float64 {
	return float64(p.onTime) / float64(p.onTime+p.late+p.refused)
}

// TestProbesAvoidSlowServers guards against a choice of backend servers that
// ignores which ones are slow at the moment. The load is half of what the
// servers at normal speed can serve.
func TestProbesAvoidSlowServers(t *testing.T) {
	shares := make(map[time.Duration]float64)
	for _, fresh := range []time.Duration{0, 30 * time.Millisecond} {
		sim := newPoolSimulation(18, 2, fresh)
		sim.changeSlowServers()
		sim.tickPool()
		sim.sendRequests(120, 20*time.Second)
		sim.advance(22 * time.Second)
		shares[fresh] = sim.onTimeShare()
		if maxProbes := 3 * len(sim.sentAt); sim.probes > maxProbes {
			t.Errorf("got %d probes for %d requests, want at most %d", sim.probes, len(sim.sentAt), maxProbes)
		}
	}
	if got, want := shares[30*time.Millisecond], 0.95; got < want {
		t.Errorf("got %.3f on time with fresh reports, want %v", got, want)
	}
	if got, other := shares[30*time.Millisecond], shares[0]; got < other+0.1 {
		t.Errorf("got %.3f on time with fresh reports, %.3f without, want 0.1 more", got, other)
	}
}

// TestOverloadGoodput guards against a queue that makes every call late, or
// that holds calls until their deadlines, when twice as many calls arrive as
// can be served.
func TestOverloadGoodput(t *testing.T) {
	sim := newPoolSimulation(9, 2, 30*time.Millisecond)
	sim.changeSlowServers()
	sim.tickPool()
	capacity := 18 * (1 - slowServerShare) / defaultWork.Seconds()
	sim.sendRequests(2*capacity, 10*time.Second)
	sim.advance(12 * time.Second)
	if got, want := float64(sim.onTime), 0.75*capacity*10; got < want {
		t.Errorf("got %v calls on time, want %v", got, want)
	}
	if got := float64(sim.late) / float64(sim.onTime); got > 0.15 {
		t.Errorf("got %.2f late calls for each on time, want 0.15", got)
	}
	if got, want := sim.longestRefusedWait, defaultTarget; got > want {
		t.Errorf("got a refusal after a wait of %v, want at most the target %v", got, want)
	}
	if n := sim.pool.QueuedCount(); n != 0 {
		t.Errorf("got %d queued requests, want 0", n)
	}
}

// TestSlowServerNotGranted guards against a call that is granted a slot on
// which it misses its target, and against one that does not get the slot after
// the server has recovered.
func TestSlowServerNotGranted(t *testing.T) {
	sim := newPoolSimulation(1, 1, 30*time.Millisecond)
	sim.tickPool()
	for n := range uint64(5) { // Lets the pool measure the work of a call.
		sim.requestSlot(n)
		sim.advance(200 * time.Millisecond)
	}
	sim.slowdown[serverAddr(0)] = slowServerSlowdown
	sim.requestSlot(100)
	sim.advance(50 * time.Millisecond)
	if got := sim.grants[serverAddr(0)]; got != 5 {
		t.Fatalf("got %d grants, want 5: none while the server is slow", got)
	}
	if !sim.queued[100] {
		t.Error("got no Queued reply, want one so that the entry asks other homes")
	}
	sim.slowdown[serverAddr(0)] = 1
	sim.advance(150 * time.Millisecond)
	if got := sim.grants[serverAddr(0)]; got != 6 {
		t.Errorf("got %d grants after the server recovered, want 6", got)
	}
}

// TestQueuedNotSentWhileProbing guards against entries that ask the homes of
// other zones, which costs traffic between zones, while a probe in progress is
// about to lead to a grant.
func TestQueuedNotSentWhileProbing(t *testing.T) {
	sim := newPoolSimulation(4, 2, 30*time.Millisecond)
	sim.requestSlot(1)
	if sim.queued[1] {
		t.Error("got a Queued reply, want none while probes are in progress")
	}
	sim.advance(5 * time.Millisecond)
	if got := len(sim.grants); got != 1 {
		t.Errorf("got %d servers with a grant, want 1", got)
	}
}

// TestGrantWithoutProbeResults guards against requests that are never granted
// because no probe gets an answer.
func TestGrantWithoutProbeResults(t *testing.T) {
	sim := newPoolSimulation(2, 1, 30*time.Millisecond)
	sim.tickPool()
	sim.failingProbes[serverAddr(0)], sim.failingProbes[serverAddr(1)] = true, true
	sim.requestSlot(1)
	sim.advance(150 * time.Millisecond)
	if len(sim.grants) != 1 {
		t.Errorf("got no grant, want one on a server of unknown pace")
	}
}

// TestSlowJoiningServer guards against a server that is slow when it joins and
// gets no calls afterwards because of its first report.
func TestSlowJoiningServer(t *testing.T) {
	sim := newPoolSimulation(4, 2, 30*time.Millisecond)
	sim.tickPool()
	sim.sendRequests(20, 8*time.Second)
	sim.advance(time.Second)
	sim.slowdown[serverAddr(4)] = 3
	sim.syncServers(5, 2, 30*time.Millisecond)
	sim.advance(3 * time.Second)
	sim.slowdown[serverAddr(4)] = 1
	sim.advance(4 * time.Second)
	if sim.grants[serverAddr(4)] == 0 {
		t.Error("got no grant to the server that joined, want some")
	}
}

// TestImmediateLateRefusal guards against a request that is queued although it
// cannot be served before its deadline.
func TestImmediateLateRefusal(t *testing.T) {
	sim := newPoolSimulation(1, 1, 30*time.Millisecond)
	sim.tickPool()
	for n := range uint64(5) {
		sim.requestSlot(n)
		sim.advance(200 * time.Millisecond)
	}
	sim.sentAt[100] = sim.now
	sim.pool.RequestSlot(sim.now, allocator.SlotRequest{ID: allocator.ID{Owner: sim, Number: 100}, Rank: parser.Normal, Deadline: sim.now.Add(defaultWork / 4)})
	if sim.refused != 1 || sim.longestRefusedWait != 0 {
		t.Errorf("got %d refusals after %v, want 1 at once", sim.refused, sim.longestRefusedWait)
	}
}

// TestReplacedServerProcess guards against calls of an earlier process that are
// counted against the slots of a new process at the same address.
func TestReplacedServerProcess(t *testing.T) {
	sim := newPoolSimulation(1, 1, 0)
	sim.requestSlot(1)
	if sim.grants[serverAddr(0)] != 1 {
		t.Fatal("got no grant, want one")
	}
	l := &reader.List{Entries: []reader.Entry{{Name: "other", Address: serverAddr(0), Zone: "a", Service: "s", Slots: 1}}}
	sim.pool.ApplyTable(sim.now, router.NewRoutingTable(&parser.Bundle{Version: 2, Services: []parser.Service{{Name: "s", Slots: 1}}}, l))
	sim.requestSlot(2)
	if got := sim.grants[serverAddr(0)]; got != 2 {
		t.Errorf("got %d grants, want 2: the new process is free", got)
	}
}
