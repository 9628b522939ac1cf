package allocator

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/picker"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// dispatch grants free slots to queued requests until either runs out, then
// recalls kept slots for the requests that are still queued.
func (p *Pool) dispatch(now time.Time) {
	more := true
	for more && len(p.queued) > 0 {
		more = p.hasAvailableServer(now) && p.grantNext(now)
	}
	p.dispatchHedges(now)
	p.recallForQueued()
}

// hasAvailableServer reports whether any server may get a call now.
func (p *Pool) hasAvailableServer(now time.Time) bool {
	if !p.usesFreshReports() {
		return p.freeSlots(now) > 0
	}
	return p.hasGrantableServer(now)
}

// freeSlots returns the number of free slots, including those that are not
// granted because their servers would become nearly full; see grantableSlots.
func (p *Pool) freeSlots(now time.Time) int {
	n := 0
	for _, s := range p.servers.Servers() {
		n += s.FreeSlots(now)
	}
	return n
}

// totalSlots returns the number of calls that the pool may run at a time.
func (p *Pool) totalSlots(now time.Time) int {
	n := 0
	for _, s := range p.servers.Servers() {
		n += s.Capacity(now)
	}
	return n
}

// queueLimit returns the maximum length of the queue of each rank.
func (p *Pool) queueLimit() int {
	return p.config.Queue.Calls * max(p.config.Slots, 1) * len(p.servers.Servers())
}

// urgentReserve returns the number of free slots reserved for urgent calls: one
// for 14 slots or more, and one more for every further 20. Under a flood of
// patient calls with steady service times, reserving one of 10 slots costs 6%
// of goodput and one of 14 costs 4%. On 20 slots, the p99 of urgent calls rises
// by 13% without the reserve and by 8% with it.
func (p *Pool) urgentReserve(now time.Time) int {
	if p.lastUrgent.IsZero() || now.Sub(p.lastUrgent) > urgentReserveTime {
		return 0
	}
	return (p.totalSlots(now) + 6) / 20
}

// floorShare returns the floor of rank r as a share of all slot time.
func (p *Pool) floorShare(r parser.Rank) float64 {
	if r == parser.Normal {
		return p.config.Floors.Normal
	}
	return p.config.Floors.Patient
}

// grantNext grants one slot and reports whether it did. A lower rank with
// enough credit for a call goes first, then the order is urgent, normal,
// patient.
func (p *Pool) grantNext(now time.Time) bool {
	for r := parser.Normal; r <= parser.Patient; r++ {
		if p.queues[r].credit >= p.expectedHoldTime(r) && p.grantNextOfRank(now, r) {
			return true
		}
	}
	if p.grantNextOfRank(now, parser.Urgent) {
		return true
	}
	if p.freeSlots(now)+p.lostSlots(now) <= p.urgentReserve(now) {
		return false
	}
	return p.grantNextOfRank(now, parser.Normal) || p.grantNextOfRank(now, parser.Patient)
}

// grantNextOfRank grants a slot to the first request of rank r for which a
// server can be chosen and reports whether there was one. It refuses requests
// past their deadline.
func (p *Pool) grantNextOfRank(now time.Time, r parser.Rank) bool {
	unsuited := 0
	for i, qr := range p.serviceOrder(now, &p.queues[r]) {
		if i == maxScannedRequests {
			break
		}
		if !qr.Deadline.After(now) {
			p.refuseQueued(now, qr, ReasonLate)
			continue
		}
		s := p.chooseServer(now, qr)
		switch {
		case s == nil && p.usesFreshReports() && !p.avoidsUsable(now, qr.Avoid):
			if unsuited++; p.awaitingProbes || unsuited == maxUnsuitedRequests {
				return false // The other requests wait for the same probes or servers.
			}
			continue
		case s == nil:
			continue
		}
		p.drainQueued(now, qr.ID)
		p.grantSlot(now, s, qr.SlotRequest)
		p.updateCredits(r)
		p.queues[r].creditRoutes(now, qr.Route, float64(p.expectedWork(qr.SlotRequest)), p.expectedHoldTime(r))
		p.observeWait(now, qr)
		p.offerSlot(now, qr, s)
		return true
	}
	return false
}

// offerSlot tells the owner of qr that it was granted a slot of s.
func (p *Pool) offerSlot(now time.Time, qr *queuedRequest, s *tracker.Server) {
	reply := Reply{Number: qr.Number, Kind: ReplyOffered, Server: s.Address, MayKeep: p.canKeepSlots(now), Load: p.currentLoad(now)}
	if p.shared[s.Address] {
		reply.Name, reply.ProcessStart = s.Name, s.ProcessStart
	}
	if p.isLimited(now, s) {
		reply.Cold, reply.Wait, reply.MayKeep = true, now.Sub(qr.queuedAt), false
	}
	if slowdown, age, ok := s.Slowdown(now); ok {
		reply.Slowdown, reply.SlowdownAge = slowdown, age
	}
	qr.Owner.ReceiveReply(reply)
}

// avoidsUsable reports whether avoid has a server of the pool that other requests may use.
func (p *Pool) avoidsUsable(now time.Time, avoid []netip.AddrPort) bool {
	return slices.ContainsFunc(avoid, func(addr netip.AddrPort) bool {
		s := p.servers.FindServer(addr)
		return s != nil && s.State(now) != tracker.Leaving && s.State(now) != tracker.Evacuated
	})
}

const (
	// maxCreditCalls limits the credit of a rank to this number of calls, so
	// that a rank keeps the remainder of its credit after a call.
	maxCreditCalls = 2
	// turnaroundFactor compensates for the time between an answer and the next
	// call on the same slot. It belongs to no call, but floors are shares of
	// all slot time.
	turnaroundFactor = 1.1
)

// expectedHoldTime returns the expected hold time of a call of rank r, in
// nanoseconds.
func (p *Pool) expectedHoldTime(r parser.Rank) float64 {
	if h := p.queues[r].meanHoldTime; h > 0 {
		return h
	}
	return p.meanHoldTime
}

// updateCredits accounts for a grant of rank served. Each lower rank with
// waiting requests gains its floor share of the slot time of the call as
// credit, and the slot time that the served rank uses is deducted from its
// credit. Credit is
// counted in slot time instead of calls, because a rank with long calls would
// otherwise get a multiple of its floor.
func (p *Pool) updateCredits(served parser.Rank) {
	p.queues[served].granted++
	used := p.expectedHoldTime(served)
	for r := parser.Normal; r <= parser.Patient; r++ {
		q := &p.queues[r]
		if q.len() > 0 {
			gain := turnaroundFactor * p.floorShare(r) * used
			q.credit = min(q.credit+gain, maxCreditCalls*max(p.expectedHoldTime(r), gain))
		}
		if r == served {
			q.credit = max(q.credit-used, 0)
		}
	}
}

// pickServer returns the server that the policy of the pool chooses for req, or
// nil when no server that req may use has a free slot. An ejected server whose
// trial call is due goes first.
func (p *Pool) pickServer(now time.Time, req SlotRequest) *tracker.Server {
	all := p.candidateBuffer[:0]
	for _, s := range p.servers.Servers() {
		if s.FreeSlots(now) == 0 || s.IsDisplaced() || !p.allowsCold(now, s) || p.isFullByReport(now, s) || slices.Contains(req.Avoid, s.Address) {
			continue
		}
		if s.State(now) == tracker.Trial {
			// An urgent call is used as the trial call of an ejected server
			// only when no other call has come for a long time.
			if req.Rank == parser.Urgent && !s.TrialOverdue(now) {
				continue
			}
			return s
		}
		all = append(all, picker.Candidate[*tracker.Server]{Value: s, Score: p.serverScore(now, s), InFlight: s.InFlight()})
	}
	p.candidateBuffer = all
	all = p.preferWarm(all)
	var policy picker.Policy[*tracker.Server] = picker.LowestScore[*tracker.Server]{}
	if p.Policy != nil {
		policy = p.Policy
	}
	if i := policy.Pick(all); i >= 0 {
		return all[i].Value
	}
	return nil
}

func (p *Pool) serverScore(now time.Time, s *tracker.Server) float64 {
	return picker.Score(picker.ServerStats{
		ExpectedLatency:  p.servers.ExpectedLatency(now, s),
		MedianLatency:    time.Duration(p.servers.MedianLatency(now)),
		InFlight:         float64(s.InFlight()) + p.servers.ExternalInFlight(now, s),
		ConcurrencyLimit: s.Limit(),
		FailureRatio:     p.servers.WeightedFailureRatio(now, s),
	})
}

func (p *Pool) medianLatency(now time.Time) time.Duration {
	return time.Duration(p.servers.MedianLatency(now))
}

// queueWait estimates the wait of a new request of rank r: the number of queued
// requests of the rank, times the mean hold time, divided by the slots that the
// rank gets. While higher ranks wait, a lower rank gets only its floor of the
// slots.
func (p *Pool) queueWait(now time.Time, r parser.Rank) time.Duration {
	share, queuedCount := 1.0, p.queues[r].len()
	for higher := parser.Urgent; higher < r; higher++ {
		if p.queues[higher].len() > 0 {
			share = p.floorShare(r)
		}
	}
	slots := max(float64(p.totalSlots(now))*share, 0.1)
	return time.Duration(float64(queuedCount) * p.meanHoldTime / slots)
}

// minRetryAfter is the lower bound of the suggested retry delay. A refused call
// that is retried at once finds the same queue.
const minRetryAfter = 100 * time.Millisecond

// noServerRetryAfter is the suggested retry delay of a pool without usable
// servers.
const noServerRetryAfter = time.Second

// refuseRequest refuses req with a reason and a suggested retry delay.
func (p *Pool) refuseRequest(now time.Time, req SlotRequest, reason string) {
	p.queues[req.Rank].countRefusal(reason)
	if p.Observer != nil {
		p.Observer.ObserveRefusal(p.Key.Service, req.Route, reason)
	}
	after := max(p.queueWait(now, req.Rank), minRetryAfter)
	if p.usesFreshReports() {
		after = max(p.retryDelay(now, req), minRetryAfter)
	}
	if wait, ok := p.coldWait(now, req.Avoid, p.queuedUpTo(req.Rank)+1); ok {
		after = max(after, wait)
	}
	if reason == ReasonNone {
		after = noServerRetryAfter
	}
	jitter := p.Jitter
	if jitter == nil {
		jitter = randomJitter
	}
	after = time.Duration(float64(after) * jitter())
	req.Owner.ReceiveReply(Reply{Number: req.Number, Kind: ReplyRefused, Reason: reason, RetryAfter: after, Load: p.currentLoad(now)})
}

func randomJitter() float64 { return 0.5 + rand.Float64() }
