package allocator_test

import (
	"net/netip"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// refusingPool is a pool some of whose servers refuse a share of their calls at once,
// although they report free slots.
type refusingPool struct {
	*poolSimulation
	refusing map[netip.AddrPort]bool
	share    float64
	asked    int // First attempts that were granted a slot.
	rejected int // Those of them that the server refused.
}

// ReceiveReply ends a granted call at once if its server refuses it.
func (p *refusingPool) ReceiveReply(reply allocator.Reply) {
	if reply.Kind != allocator.ReplyOffered {
		return
	}
	p.asked++
	id := allocator.ID{Owner: p, Number: reply.Number}
	result := tracker.Result{Latency: time.Millisecond, Refused: true, ReportedCalls: p.grantedInFlight[reply.Server], Slowdown: 1}
	if p.refusing[reply.Server] && p.rng.Float64() < p.share {
		p.rejected++
		p.schedule(time.Millisecond, func() { p.pool.ReleaseSlot(p.now, id, result) })
		return
	}
	p.grantedInFlight[reply.Server]++
	p.schedule(defaultWork, func() {
		p.grantedInFlight[reply.Server]--
		p.pool.ReleaseSlot(p.now, id, tracker.Result{Latency: defaultWork, ReportedCalls: p.grantedInFlight[reply.Server], Slowdown: 1})
	})
}

// TestRefusingServers guards against calls that go to servers which refuse half of them
// while sound servers have free slots. The load is half of what the sound servers hold.
func TestRefusingServers(t *testing.T) {
	const servers, sound, slots = 40, 10, 3
	p := &refusingPool{poolSimulation: newPoolSimulation(servers, slots, 30*time.Millisecond), refusing: make(map[netip.AddrPort]bool), share: 0.55}
	for i := sound; i < servers; i++ {
		p.refusing[serverAddr(i)] = true
	}
	p.tickPool()
	perSecond := 0.5 * sound * slots / defaultWork.Seconds()
	number := uint64(0)
	for at := time.Duration(0); at < 8*time.Second; at += time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		number++
		id := allocator.ID{Owner: p, Number: number}
		p.schedule(at, func() {
			p.pool.RequestSlot(p.now, allocator.SlotRequest{
				ID: id, Target: p.now.Add(defaultTarget), Deadline: p.now.Add(defaultTimeout),
			})
		})
	}
	p.advance(10 * time.Second)
	// Until each refusing server has refused twice, it counts as sound.
	learning := 4 * (servers - sound)
	if limit := learning + p.asked/50; p.rejected > limit {
		t.Errorf("got %d of %d calls refused by servers, want at most %d", p.rejected, p.asked, limit)
	}
}
