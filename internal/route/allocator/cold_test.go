package allocator_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Load of the tests in this file: servers that sustain 2.5 calls per second while they
// are cold, work twice as slowly then and must not get more than 11 in any second.
const (
	coldTestWork   = 220 * time.Millisecond
	coldTestTarget = 600 * time.Millisecond
	coldTestLink   = time.Millisecond
	maxColdCalls   = 11
)

// coldFleet simulates homes of one pool, whose servers all of them may grant.
type coldFleet struct {
	*simulation
	servers []*coldServer
	homes   []*coldHome
	homeOf  func(n int) int // Home that the n-th call asks.
	sent    int
	stalled time.Time // Time until which calls do not reach the servers.
	served  int
	refused int
	waited  time.Duration // Longest wait of a refused call.
	after   time.Duration // Shortest RetryAfter of a refused call.
}

type coldServer struct {
	addr      netip.AddrPort
	coldUntil time.Time
	inFlight  int
	arrivals  []time.Time // While the server was cold.
}

type coldHome struct {
	*coldFleet
	pool    *allocator.Pool
	frozen  bool
	backlog []func() // Messages that arrived while the home was frozen.
}

// coldCall is a call and the owner of its request.
type coldCall struct {
	*coldHome
	sentAt time.Time
}

// newColdFleet returns homes that have run for some time when the servers turn cold.
func newColdFleet(servers int, cold time.Duration, homes int) *coldFleet {
	f := &coldFleet{simulation: newSimulation(0, 1), homeOf: func(n int) int { return n % homes }, after: time.Hour}
	for i := range servers {
		f.servers = append(f.servers, &coldServer{addr: serverAddr(i)})
	}
	for range homes {
		f.addHome(nil)
	}
	f.run(2 * time.Second)
	f.turnCold(f.servers, cold)
	return f
}

// turnCold makes servers cold and tells all homes.
func (f *coldFleet) turnCold(servers []*coldServer, cold time.Duration) {
	for _, s := range servers {
		s.coldUntil = f.now.Add(cold)
	}
	for _, h := range f.homes {
		h.applyTable()
	}
}

// addHome starts a home. As after a change of home, it has no state but the records.
func (f *coldFleet) addHome(share func() float64) {
	h := &coldHome{coldFleet: f}
	h.pool = &allocator.Pool{
		Key: allocator.PoolKey{Service: "s", Zone: "a"}, Jitter: func() float64 { return 1 }, StartProbe: h.startProbe,
		ColdLimits: allocator.ColdLimits{Bound: parser.ColdBound{Overage: parser.Some(1.5), Slack: parser.Some(8)}, FleetShare: share},
	}
	f.homes = append(f.homes, h)
	h.applyTable()
	h.tick()
}

func (h *coldHome) applyTable() {
	l := &reader.List{}
	for _, s := range h.servers {
		l.Entries = append(l.Entries, reader.Entry{Name: s.addr.String(), Address: s.addr, Zone: "a", Service: "s", Slots: 6, Cold: max(s.coldUntil.Sub(h.now), 0)})
	}
	t := router.NewRoutingTable(&parser.Bundle{Version: 1, Services: []parser.Service{{
		Name: "s", Slots: 1, Probe: parser.Probe{Fresh: parser.Duration(30 * time.Millisecond)}, Cold: parser.Cold{Time: parser.Duration(3 * time.Second), Rate: 2.5},
	}}}, l)
	new(router.ColdSchedule).Mark(h.now, t)
	h.pool.ApplyTable(h.now, t)
}

func (h *coldHome) tick() {
	if !h.frozen {
		h.pool.Tick(h.now)
	}
	h.schedule(5*time.Millisecond, h.tick)
}

// deliver passes a message to the home after the delay of a link, or once it wakes.
func (h *coldHome) deliver(message func()) {
	h.schedule(coldTestLink, func() {
		if h.frozen {
			h.backlog = append(h.backlog, message)
			return
		}
		message()
	})
}

func (h *coldHome) wake() {
	h.frozen = false
	for _, message := range h.backlog {
		message()
	}
}

func (f *coldFleet) server(addr netip.AddrPort) *coldServer {
	return f.servers[slices.IndexFunc(f.servers, func(s *coldServer) bool { return s.addr == addr })]
}

func (h *coldHome) startProbe(s *tracker.Server) {
	h.schedule(probeDuration, func() {
		server := h.server(s.Address)
		r := tracker.ProbeResult{
			Result: tracker.Result{ReportedCalls: server.inFlight, Slowdown: 1}, Age: probeDuration / 2,
			ColdStated: true, Cold: max(server.coldUntil.Sub(h.now), 0),
		}
		h.deliver(func() { h.pool.RecordProbe(h.now, server.addr, r) })
	})
}

// sendCalls schedules calls at an even rate for the duration d.
func (f *coldFleet) sendCalls(perSecond int, d time.Duration) {
	for i := range int(float64(perSecond) * d.Seconds()) {
		f.schedule(time.Duration(i)*time.Second/time.Duration(perSecond), f.sendCall)
	}
}

func (f *coldFleet) sendCall() {
	f.sent++
	c := &coldCall{f.homes[f.homeOf(f.sent)], f.now}
	c.deliver(func() {
		c.pool.RequestSlot(c.now, allocator.SlotRequest{
			ID: allocator.ID{Owner: c}, Rank: parser.Normal, Target: c.sentAt.Add(coldTestTarget), Deadline: c.sentAt.Add(2 * time.Second),
		})
	})
}

// ReceiveReply starts a granted call, unless its slot is late, as an entry does.
func (c *coldCall) ReceiveReply(r allocator.Reply) {
	switch r.Kind {
	case allocator.ReplyRefused:
		c.refused++
		c.waited, c.after = max(c.waited, c.now.Sub(c.sentAt)), min(c.after, r.RetryAfter)
	case allocator.ReplyOffered:
		c.schedule(coldTestLink, func() {
			if r.Cold && c.now.After(c.sentAt.Add(r.Wait+allocator.MaxColdDelay)) {
				c.deliver(func() { c.pool.CancelRequest(c.now, allocator.ID{Owner: c}) })
				return
			}
			c.schedule(max(coldTestLink, c.stalled.Sub(c.now)), func() { c.arrive(c.server(r.Server)) })
		})
	}
}

// arrive runs the call at s.
func (c *coldCall) arrive(s *coldServer) {
	took := coldTestWork
	if c.now.Before(s.coldUntil) {
		s.arrivals = append(s.arrivals, c.now)
		took *= 2
	}
	s.inFlight++
	c.schedule(took, func() {
		s.inFlight--
		c.served++
		c.deliver(func() {
			c.pool.ReleaseSlot(c.now, allocator.ID{Owner: c}, tracker.Result{ReportedCalls: s.inFlight, Latency: took, Slowdown: 1})
		})
	})
}

// maxPerSecond returns the most arrivals at one cold server in any second.
func (f *coldFleet) maxPerSecond() int {
	most := 0
	for _, s := range f.servers {
		for i, first := range s.arrivals {
			n := 0
			for _, at := range s.arrivals[i:] {
				if at.Sub(first) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// TestZoneReturnsCold guards against servers that crash because a whole zone returns cold
// under full load, against calls that wait for them in vain, and against servers that get
// no calls for good.
func TestZoneReturnsCold(t *testing.T) {
	f := newColdFleet(10, 3*time.Second, 1)
	f.sendCalls(150, 6*time.Second) // The warm servers complete 270 calls per second.
	f.run(3 * time.Second)
	cold := f.served
	if got := f.maxPerSecond(); got > 3 {
		t.Errorf("got %d calls at one server in a second, want at most 3 from one home", got)
	}
	if got, want := cold, 10*2.5*3; float64(got) < 0.6*want || float64(got) > want {
		t.Errorf("got %d calls served in 3 s, want most of %v, the rate of the cold servers", got, want)
	}
	if f.waited > coldTestTarget/2 {
		t.Errorf("got a refusal after %v, want it early", f.waited)
	}
	refused := f.refused
	f.run(4 * time.Second)
	if got := f.served - cold; got < 425 || f.refused-refused > 10 {
		t.Errorf("got %d served and %d refused in the 3 s after the cold start, want nearly all of 450", got, f.refused-refused)
	}
}

// TestColdRetryAfter guards against callers that are told to return before a cold server
// gets its next call.
func TestColdRetryAfter(t *testing.T) {
	f := newColdFleet(1, 3*time.Second, 1)
	f.sendCall() // The first call is granted 400 ms after the start, and takes too long then.
	f.run(10 * time.Millisecond)
	if f.refused != 1 || f.after < 390*time.Millisecond || f.after > 400*time.Millisecond {
		t.Errorf("got %d refused, with a retry after %v, want one and about 400ms", f.refused, f.after)
	}
}

// TestColdServersBesideWarm guards against calls to cold servers while warm ones are
// free, and against cold servers that stay unused while calls are refused.
func TestColdServersBesideWarm(t *testing.T) {
	for _, c := range []struct{ perSecond, least, most int }{{20, 0, 0}, {160, 10, 38}} {
		f := newColdFleet(10, 3*time.Second, 1)
		f.turnCold(f.servers[5:], 0)
		f.sendCalls(c.perSecond, 3*time.Second)
		f.run(3 * time.Second)
		got := 0
		for _, s := range f.servers[:5] {
			got += len(s.arrivals)
		}
		if got < c.least || got > c.most {
			t.Errorf("%d calls per second: got %d at cold servers, want %d to %d", c.perSecond, got, c.least, c.most)
		}
	}
}

// TestColdLimitAcrossHomes guards against more calls at a cold server than it takes,
// because several homes grant its slots, or because calls arrive late and together.
func TestColdLimitAcrossHomes(t *testing.T) {
	const cold = 8 * time.Second
	for _, c := range []struct {
		name  string
		start func() *coldFleet
	}{
		{"partition", func() *coldFleet { return newColdFleet(3, cold, 2) }},
		{"three homes", func() *coldFleet { return newColdFleet(3, cold, 3) }},
		{"changes of home", func() *coldFleet {
			f := newColdFleet(3, cold, 1)
			f.homeOf = func(int) int { return len(f.homes) - 1 }
			for i := range 3 {
				f.schedule(time.Duration(i+1)*2*time.Second, func() { f.addHome(nil) })
			}
			return f
		}},
		{"instances cut off", func() *coldFleet { // Each becomes the home for its own calls.
			const n = 30
			f := newColdFleet(3, cold, 1)
			cutOff := f.now
			share := func() float64 {
				if f.now.Sub(cutOff) < 1600*time.Millisecond {
					return 1 // They have not noticed it.
				}
				return 1.0 / n
			}
			for range n - 1 {
				f.addHome(share)
			}
			f.homeOf = func(i int) int { return i % n }
			return f
		}},
		{"frozen home", func() *coldFleet {
			f := newColdFleet(3, cold, 2)
			f.homeOf = func(n int) int {
				if f.homes[0].frozen && n%10 > 0 { // Some entries still ask the frozen home.
					return 1
				}
				return n % 2
			}
			f.schedule(time.Second, func() { f.homes[0].frozen = true })
			f.schedule(4*time.Second, f.homes[0].wake)
			return f
		}},
		{"stalled links", func() *coldFleet {
			f := newColdFleet(3, cold, 2)
			f.schedule(time.Second, func() { f.stalled = f.now.Add(4 * time.Second) })
			return f
		}},
	} {
		f := c.start()
		f.sendCalls(100, 7*time.Second)
		f.run(cold)
		if got := f.maxPerSecond(); got > maxColdCalls || got < 2 {
			t.Errorf("%s: got %d calls at one server in a second, want 2 to %d", c.name, got, maxColdCalls)
		}
		t.Logf("%s: at most %d calls in a second, %d served", c.name, f.maxPerSecond(), f.served)
	}
}

// TestKeptSlotOfColdServer guards against calls on kept slots that pass the limit of a
// server that has turned cold.
func TestKeptSlotOfColdServer(t *testing.T) {
	f := newColdFleet(1, 0, 1)
	h := f.homes[0]
	f.run(time.Second)
	h.pool.StartProbe = nil
	owner := &replyRecorder{make(map[uint64]allocator.Reply)}
	id := allocator.ID{Owner: owner, Number: 1}
	request := func(n uint64) {
		h.pool.RequestSlot(f.now, allocator.SlotRequest{ID: allocator.ID{Owner: owner, Number: n}, Deadline: f.now.Add(time.Minute)})
	}
	request(1)
	h.pool.KeepSlot(f.now, id, tracker.Result{ReportedCalls: -1, Latency: 10 * time.Millisecond})
	f.turnCold(f.servers, 3*time.Second)
	if got := owner.replies[1].Kind; got != allocator.ReplyRecalled {
		t.Errorf("got reply %v, want the kept slot recalled", got)
	}
	h.pool.UseKeptSlot(f.now, id, parser.Normal, f.now.Add(time.Minute)) // It crossed the recall.
	h.pool.ReleaseSlot(f.now, id, tracker.Result{ReportedCalls: -1, Latency: 10 * time.Millisecond})
	f.run(900 * time.Millisecond)
	request(2)
	if got := owner.replies[2].Kind; got == allocator.ReplyOffered {
		t.Errorf("got an offer after %v, want the call on the kept slot counted", 900*time.Millisecond)
	}
	f.run(400 * time.Millisecond)
	if got := owner.replies[2]; got.Kind != allocator.ReplyOffered || got.MayKeep || !got.Cold {
		t.Errorf("got reply %+v, want an offer of a cold slot that may not be kept", got)
	}
}
