package allocator_test

import (
	"net/netip"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/allocator"
)

// requestSlotAvoiding is like requestSlot for a call of longCalls that must not use avoid.
func (p *poolSimulation) requestSlotAvoiding(number uint64, avoid []netip.AddrPort) {
	p.sentAt[number], p.callTypes[number] = p.now, longCalls
	p.routeCounts[longCalls.route] = new([2]int)
	p.pool.RequestSlot(p.now, allocator.SlotRequest{
		ID: allocator.ID{Owner: p, Number: number}, Rank: parser.Normal, Route: longCalls.route, Avoid: avoid,
		Target: p.now.Add(longCalls.target), Deadline: p.now.Add(longCalls.timeout),
	})
}

// countFloodAllocs returns the memory allocations of a pool under three times the load that
// it can serve, while all requests avoid the given servers. They grow with the number of
// requests that it examines.
func countFloodAllocs(avoid []netip.AddrPort) float64 {
	return testing.AllocsPerRun(1, func() {
		sim := newPoolSimulation(30, 6, 30*time.Millisecond)
		sim.nearlyFullFactor = 1.7
		sim.changeSlowServers()
		sim.tickPool()
		number, perSecond := uint64(0), 3*120/longCalls.work.Seconds()
		for at := time.Duration(0); at < time.Second; at += time.Duration(sim.rng.ExpFloat64() / perSecond * float64(time.Second)) {
			number++
			n := number
			sim.schedule(at, func() { sim.requestSlotAvoiding(n, avoid) })
		}
		sim.advance(2 * time.Second)
	})
}

// TestFloodBesideLeavingServer guards against a home that examines many times as many
// requests in a flood because all of them avoid a server that gets no calls anyway.
func TestFloodBesideLeavingServer(t *testing.T) {
	want := 1.5 * countFloodAllocs(nil)
	if got := countFloodAllocs([]netip.AddrPort{netip.MustParseAddrPort("10.9.9.9:80")}); got > want {
		t.Errorf("got %.0f allocations, want at most %.0f, 1.5 times those without the server", got, want)
	}
}
