package allocator

import (
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/route/tracker"
)

// silentCost is the cost added for each recent silent call since the last answer of a server. It
// exceeds the cost of a slow server, so that a server that may have stopped answering gets
// calls only when no other has room.
const silentCost = 10

// MarkSilent records that the call of a grant is silent; see tracker.Pool.MarkSilent.
func (p *Pool) MarkSilent(now time.Time, id ID) {
	if g := p.grants[id]; g != nil && !g.kept && !g.silent {
		g.silent = true
		p.servers.MarkSilent(now, g.server)
		p.recallUnfit(now, g.server)
	}
}

// holdSilent records that the ended call of g was silent, if so, and counts it as held.
func (p *Pool) holdSilent(now time.Time, g *grant, r *tracker.Result) {
	if r == nil || !r.Silent || p.servers.FindServer(g.server.Address) != g.server {
		return
	}
	if !g.silent {
		p.servers.MarkSilent(now, g.server)
	}
	p.servers.HoldLost(now, g.server)
}

// loseGrant ends the grant of id, whose entry was lost or has not reported the result of
// its call, which may still be at the server.
func (p *Pool) loseGrant(now time.Time, id ID) {
	g := p.grants[id]
	used := !g.kept
	p.endGrant(id, nil, now)
	if used && p.holdsLost() && p.servers.FindServer(g.server.Address) == g.server {
		p.servers.HoldLost(now, g.server)
	}
}

func (p *Pool) holdsLost() bool { return p.HoldLost != nil && p.HoldLost() }

// needsProof reports whether s has no slot to grant only because of calls without an
// answer, so that a probe may free one.
func (p *Pool) needsProof(now time.Time, s *tracker.Server) bool {
	return s.LostCalls(now) > 0 && s.State(now) == tracker.Ready && s.InFlight() < p.grantableSlots(now, s)
}

// lostSlots returns the number of slots that a probe may free.
func (p *Pool) lostSlots(now time.Time) int {
	n := 0
	for _, s := range p.servers.Servers() {
		if p.needsProof(now, s) {
			n += s.LostCalls(now)
		}
	}
	return n
}

// hasGrantableServer reports whether a call may be granted to any server now, or after a
// probe.
func (p *Pool) hasGrantableServer(now time.Time) bool {
	return slices.ContainsFunc(p.servers.Servers(), func(s *tracker.Server) bool { return p.availableSlots(now, s) > 0 || p.needsProof(now, s) })
}

// maxPickReportAge is the age up to which a load report counts for a server that is chosen
// without a fresh one.
const maxPickReportAge = time.Second

// isFullByReport reports whether the calls of others fill the free slots of s by its last
// report. A pool that holds no lost calls goes by its own count.
func (p *Pool) isFullByReport(now time.Time, s *tracker.Server) bool {
	external, age, ok := s.ReportedExternalCalls(now)
	return p.holdsLost() && p.usesFreshReports() && ok && age <= maxPickReportAge && external >= s.FreeSlots(now)
}
