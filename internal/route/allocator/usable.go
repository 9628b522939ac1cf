package allocator

import (
	"net/netip"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/route/tracker"
)

// refuseUnservable refuses the queued requests that no server of the pool can
// serve any more; see hasUsableServer.
func (p *Pool) refuseUnservable(now time.Time) {
	for _, e := range p.queued {
		if qr := e.Value.(*queuedRequest); !p.hasUsableServer(now, qr.Avoid) {
			p.refuseQueued(now, qr, ReasonNone)
		}
	}
}

// hasUsableServer reports whether a server outside avoid can get calls, now or
// later: one that is neither leaving nor evacuated nor draining, nor displaced by another
// server until its next probe.
func (p *Pool) hasUsableServer(now time.Time, avoid []netip.AddrPort) bool {
	for _, s := range p.servers.Servers() {
		if s.IsDisplaced() && s.InProbeBackoff(now) {
			continue
		}
		if st := s.State(now); st != tracker.Leaving && st != tracker.Evacuated && st != tracker.Draining && !slices.Contains(avoid, s.Address) {
			return true
		}
	}
	return false
}
