package allocator

import (
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/route/tracker"
)

// hedgeReserveShare is the share of the slots of a pool that must stay free of hedges. A
// call can do without its hedge, so hedges leave room for the first attempts that arrive
// next.
const hedgeReserveShare = 0.1

// requestHedge grants a free slot to the hedge req or refuses it. The hedge may wait for
// the result of a probe, but is not queued: it is refused while other requests wait for a slot.
func (p *Pool) requestHedge(now time.Time, req SlotRequest) {
	p.hedges = append(p.hedges, &queuedRequest{SlotRequest: req, queuedAt: now})
	p.dispatchHedges(now)
}

// dispatchHedges grants slots to the hedges that wait for probes, or refuses them.
func (p *Pool) dispatchHedges(now time.Time) {
	if len(p.hedges) == 0 {
		return
	}
	waiting := p.hedges[:0]
	for _, qr := range p.hedges {
		s, wait := p.chooseForHedge(now, qr)
		switch {
		case wait:
			waiting = append(waiting, qr)
		case s == nil:
			qr.Owner.ReceiveReply(Reply{Number: qr.Number, Kind: ReplyRefused, Reason: ReasonFull, RetryAfter: minRetryAfter})
		default:
			p.grantSlot(now, s, qr.SlotRequest)
			p.updateCredits(qr.Rank)
			p.offerSlot(now, qr, s)
		}
	}
	clear(p.hedges[len(waiting):])
	p.hedges = waiting
}

// chooseForHedge returns the server whose slot is granted to the hedge qr, or nil when it
// is refused; wait is set while the choice waits for a probe.
func (p *Pool) chooseForHedge(now time.Time, qr *queuedRequest) (s *tracker.Server, wait bool) {
	if p.hasWaitingRequest() || !qr.Deadline.After(now) || now.Sub(qr.queuedAt) > maxProbeWait {
		return nil, false
	}
	free := 0
	for _, s := range p.servers.Servers() {
		free += p.availableSlots(now, s)
	}
	if free-1 < max(int(hedgeReserveShare*float64(p.totalSlots(now))), p.urgentReserve(now)) {
		return nil, false
	}
	s = p.chooseServer(now, qr)
	if s == nil {
		return nil, p.usesFreshReports() && p.awaitingProbes
	}
	if slowdown, age, ok := s.Slowdown(now); s.State(now) != tracker.Ready || ok && age <= maxHighSlowdownAge && slowdown > maxNormalSlowdown {
		return nil, false
	}
	return s, false
}

// hasWaitingRequest reports whether a request waits for a slot, and not only for the result
// of a probe.
func (p *Pool) hasWaitingRequest() bool {
	for _, e := range p.queued {
		if e.Value.(*queuedRequest).notified {
			return true
		}
	}
	return false
}

// removeHedges removes the waiting hedges that match.
func (p *Pool) removeHedges(match func(ID) bool) {
	p.hedges = slices.DeleteFunc(p.hedges, func(qr *queuedRequest) bool { return match(qr.ID) })
}
