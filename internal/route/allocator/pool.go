package allocator

import (
	"container/list"
	"net/netip"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/route/picker"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Pool counts the slots in use on the backend servers of one pool and queues
// requests for slots. It does not read the clock and is not safe for concurrent
// use.
type Pool struct {
	Key        PoolKey
	Audit      *auditor.Trail
	Settings   tracker.Settings               // Slots is overwritten from the service configuration.
	Policy     picker.Policy[*tracker.Server] // nil selects the server with the lowest score.
	Jitter     func() float64                 // Factor applied to the suggested retry delay; nil means random from 0.5 to 1.5.
	StartProbe func(*tracker.Server)          // Starts a probe, whose result goes to RecordProbe; nil means that servers cannot be probed.
	// MayProbe reports whether a server may be probed now; nil means always. A server
	// that this instance may not probe is still granted to others.
	MayProbe func(time.Time, *tracker.Server) bool
	// ReportLoad reports whether replies carry the load of the pool; nil means that they
	// do not.
	ReportLoad func() bool
	ColdLimits ColdLimits // Limits the calls to cold servers.

	Observer Observer // nil means that nothing is observed.
	// HoldLost reports whether calls without a result count as held until a load report
	// of their server; nil means that they do not.
	HoldLost func() bool

	servers         tracker.Pool
	config          parser.Service
	appliedTable    *router.RoutingTable   // Table that was applied last.
	listed          []router.BackendServer // Servers of the pool in appliedTable, also several with one address.
	residents       residents
	shared          map[netip.AddrPort]bool // Addresses of several servers of the service.
	queues          [parser.RankCount]queue
	routeWork       workEstimates
	nearlyFull      nearlyFullEstimator
	load            loadReporter
	queued          map[ID]*list.Element
	hedges          []*queuedRequest // Hedges that wait for the result of a probe.
	grants          map[ID]*grant
	keptCount       int       // Number of grants kept by entries between calls.
	meanHoldTime    float64   // EWMA of the hold time of all calls, in nanoseconds.
	lastUrgent      time.Time // Time of the last urgent request.
	slotRatio       float64   // Slots of the whole service divided by those of the pool.
	countedSlots    float64   // Result of effectiveSlots at slotsCountedAt.
	slotsCountedAt  time.Time
	candidateBuffer []picker.Candidate[*tracker.Server]
	orderBuffer     []*queuedRequest // Reused by serviceOrder.
	cold            coldState
	orderRound      uint64 // Number of calls of serviceOrder.
	// awaitingProbes is set if the last call of chooseByFreshReports chose no
	// server because probes are in progress.
	awaitingProbes bool
}

// grant is a slot in use, or kept by an entry.
type grant struct {
	server         *tracker.Server
	rank           parser.Rank
	route          string
	assumedWork    time.Duration // Work that the request assumed while none was measured.
	grantedAt      time.Time
	deadline       time.Time
	slowdown       float64       // Slowdown of the server at the time of the grant; 0 when unknown.
	nearlyFullTime time.Duration // Total time for which the server was nearly full until the grant.
	kept           bool          // No call uses the slot; the entry keeps it for its next call.
	silent         bool          // The call has gone without an answer for too long.
	recalled       bool          // The entry was told to return the kept slot.
	unused         bool          // The entry returned the slot without a call.
}

const (
	// grantGrace is the time after the deadline of a call at which its slot is
	// released without a report of the entry. The entry cancels the call at its
	// deadline, and its report takes some time to arrive.
	grantGrace = 250 * time.Millisecond
	// urgentReserveTime is the time after an urgent request for which free
	// slots are reserved for urgent calls.
	urgentReserveTime = time.Second
	// maxScannedRequests limits the requests of a queue that are examined for
	// one grant, for when they avoid all free servers.
	maxScannedRequests = 32
	// maxUnsuitedRequests limits the requests that are examined for one grant
	// although no free server suits them. Servers that do not suit these
	// requests are unlikely to suit the following ones.
	maxUnsuitedRequests = 4
	// initialHoldTime is the assumed hold time of a call, in nanoseconds, while
	// no call has ended.
	initialHoldTime = float64(10 * time.Millisecond)
	// ewmaGain is the weight of a new value in the moving averages.
	ewmaGain = 0.1
)

// ApplyTable applies the backend servers and the service configuration of table.
func (p *Pool) ApplyTable(now time.Time, table *router.RoutingTable) {
	if table != p.appliedTable {
		p.applyTable(now, table)
	}
}

// applyTable is ApplyTable also for the table that was applied last.
func (p *Pool) applyTable(now time.Time, table *router.RoutingTable) {
	first := p.appliedTable == nil
	p.appliedTable = table
	if first {
		p.queued, p.grants = make(map[ID]*list.Element), make(map[ID]*grant)
		p.meanHoldTime = initialHoldTime
	}
	var members []router.BackendServer
	p.listed, p.shared = nil, nil
	if s := table.Services[p.Key.Service]; s != nil {
		p.config = s.Service.WithDefaults()
		p.listed, p.shared = PoolMembers(s, p.Key), sharedAddresses(s)
		members = p.residents.chooseMembers(p.listed, func(addr netip.AddrPort) *tracker.Server { return p.findProbeable(now, addr) })
		p.slotRatio = serviceSlotRatio(s, members)
	}
	p.setColdRate(newColdRate(p.config.Cold.Rate, p.ColdLimits.Bound))
	if first {
		p.servers = tracker.Pool{Settings: p.Settings, Audit: p.Audit}
		p.servers.Settings.Slots = p.config.Slots
	} else {
		p.servers.SetDefaultSlots(now, p.config.Slots)
	}
	// The servers of a pool that is new to this home have most likely served calls
	// before, so they start at their full limit. Servers that are added later
	// start cold, at a limit of 1.
	cold := len(p.servers.Servers()) > 0
	listed := make(map[netip.AddrPort]bool, len(members))
	for i := range members {
		member := &members[i]
		listed[member.Address] = true
		if s := p.servers.FindServer(member.Address); s != nil && (s.Name != member.Name || s.ProcessStart != member.ProcessStart) {
			p.removeServer(s) // Its grants ended with the replaced process.
		}
		s := p.servers.AddServer(now, member.Name, member.Address, cold)
		s.ProcessStart = member.ProcessStart
		p.servers.SetServerSlots(now, s, member.Slots)
		p.servers.SetLeaving(now, s, member.Leaving)
		s.SetListedCold(member.Cold.Since, member.Cold.Until)
		p.servers.SetEvacuated(s, member.Evacuated)
		p.recallUnfit(now, s)
	}
	for _, s := range slices.Clone(p.servers.Servers()) {
		if listed[s.Address] {
			continue
		}
		p.servers.SetLeaving(now, s, true)
		p.recallUnfit(now, s)
		if s.InFlight() == 0 {
			p.removeServer(s)
		}
	}
	p.probeUnknown(now)
	p.updateCold(now)
	p.refuseUnservable(now)
	p.dispatch(now)
}

// RequestSlot grants a free slot to req, queues req or refuses it.
func (p *Pool) RequestSlot(now time.Time, req SlotRequest) {
	req.Rank = min(req.Rank, parser.Patient)
	if req.Rank == parser.Urgent {
		p.lastUrgent = now
	}
	switch {
	case !p.hasUsableServer(now, req.Avoid):
		p.refuseRequest(now, req, ReasonNone)
		return
	case !req.Deadline.After(now):
		p.refuseRequest(now, req, ReasonLate)
		return
	}
	if req.Hedge {
		p.requestHedge(now, req)
		return
	}
	q := &p.queues[req.Rank]
	if req.Target.IsZero() {
		req.Target = req.Deadline
	}
	req.assumedWork = time.Duration(assumedWorkShare * float64(req.Target.Sub(now)))
	if !req.Extra {
		p.countArrival(now, req)
	}
	if req.Target.After(req.Deadline) {
		req.Target = req.Deadline
	}
	if p.missesDeadline(now, req) {
		p.refuseRequest(now, req, ReasonLate)
		return
	}
	qr := p.enqueue(now, req)
	p.dispatch(now)
	if p.queued[req.ID] == nil {
		return
	}
	p.countWithheldCold(now, req.Avoid)
	newestFirst := q.overloaded(now)
	switch {
	case p.missesTargetCold(now, qr, p.queuedUpTo(req.Rank)):
		p.refuseQueued(now, qr, ReasonLate)
		return
	case q.len() > p.queueLimit():
		dropped := qr
		if newestFirst {
			dropped = q.requests.Front().Value.(*queuedRequest)
		}
		p.refuseQueued(now, dropped, ReasonFull)
		if dropped == qr {
			return
		}
	case !p.usesFreshReports() && !newestFirst && now.Add(p.queueWait(now, req.Rank)+p.medianLatency(now)).After(req.Deadline):
		p.refuseQueued(now, qr, ReasonLate)
		return
	case p.lacksProspect(now, qr):
		p.recordShedding(now, qr.route, qr.Route)
		p.refuseQueued(now, qr, ReasonLate)
		return
	}
	p.recordPrediction(now, qr)
	if !p.probePending(now) {
		p.notifyQueued(now, qr)
	}
}

// CancelRequest withdraws a slot request, or releases the slot that was granted
// for it.
func (p *Pool) CancelRequest(now time.Time, id ID) {
	p.drainQueued(now, id)
	if g := p.grants[id]; g != nil {
		g.unused = true
	}
	p.removeHedges(func(other ID) bool { return other == id })
	if p.endGrant(id, nil, now) {
		p.dispatch(now)
	}
}

// ReleaseSlot releases a slot and records the result of its call.
func (p *Pool) ReleaseSlot(now time.Time, id ID, r tracker.Result) {
	if p.endGrant(id, &r, now) {
		p.dispatch(now)
	}
}

// AddHeldSlot counts a slot as in use that another home granted.
func (p *Pool) AddHeldSlot(now time.Time, id ID, addr netip.AddrPort, rank parser.Rank, deadline time.Time) {
	s := p.servers.FindServer(addr)
	if s == nil || p.grants[id] != nil {
		return
	}
	p.drainQueued(now, id)
	p.grantSlot(now, s, SlotRequest{ID: id, Rank: min(rank, parser.Patient), Deadline: deadline})
}

// CloseSession removes the queued requests and grants of a session that ended.
func (p *Pool) CloseSession(now time.Time, owner ReplyReceiver) {
	for id := range p.queued {
		if id.Owner == owner {
			p.removeQueued(id)
		}
	}
	p.removeHedges(func(id ID) bool { return id.Owner == owner })
	for id := range p.grants {
		if id.Owner == owner {
			p.loseGrant(now, id)
		}
	}
	p.dispatch(now)
}

// ResetStale discards outdated measurements after the process was paused.
func (p *Pool) ResetStale(now time.Time) {
	p.servers.DiscardMeasurements(now)
	p.meanHoldTime = initialHoldTime
	for r := range p.queues {
		p.queues[r].resetRates(now)
	}
	p.Tick(now)
}

// Tick releases grants whose deadline has passed, grants slots that became free
// as time passed, and refuses queued requests that are late.
func (p *Pool) Tick(now time.Time) {
	for id, g := range p.grants {
		if now.Sub(g.deadline) > grantGrace {
			p.loseGrant(now, id)
		}
	}
	p.updateCold(now)
	p.dispatch(now)
	p.notifyAllQueued(now)
	p.refuseLate(now)
}

// QueuedCount returns the number of queued requests and of hedges that wait for probes.
func (p *Pool) QueuedCount() int { return len(p.queued) + len(p.hedges) }

// GrantedCount returns the number of granted slots, kept ones included.
func (p *Pool) GrantedCount() int { return len(p.grants) }

// grantSlot counts a slot of s as in use by the call of req.
func (p *Pool) grantSlot(now time.Time, s *tracker.Server, req SlotRequest) {
	slowdown, _, _ := s.Slowdown(now)
	if slowdown > 0 && p.isLimited(now, s) {
		slowdown = max(slowdown, coldSlowdown)
	}
	p.countCold(now, s)
	p.servers.StartCall(s)
	if req.Extra {
		p.countArrival(now, req)
	}
	p.grants[req.ID] = &grant{
		server: s, rank: req.Rank, route: req.Route, assumedWork: req.assumedWork, grantedAt: now, deadline: req.Deadline,
		slowdown: slowdown, nearlyFullTime: p.updateNearlyFullTime(now, s),
	}
}

// endGrant ends the grant of id and reports whether there was one. A nil r
// means that the result of the call is unknown.
func (p *Pool) endGrant(id ID, r *tracker.Result, now time.Time) bool {
	g := p.grants[id]
	if g == nil {
		return false
	}
	delete(p.grants, id)
	p.recordColdEnd(now, g, r)
	if g.kept {
		p.keptCount--
	}
	if r == nil || r.Failed && p.cutByDeadline(now, g) {
		p.servers.AbandonCall(g.server)
	} else {
		p.servers.FinishCall(now, g.server, *r)
		p.recallUnfit(now, g.server)
		if !r.Failed && !r.Refused && !r.Unanswered {
			p.recordHoldTime(now, g)
		}
	}
	p.holdSilent(now, g, r)
	p.updateNearlyFullTime(now, g.server)
	if g.server.State(now) == tracker.Leaving && g.server.InFlight() == 0 && !p.isListed(g.server.Address) {
		p.removeServer(g.server)
	}
	return true
}

// recordHoldTime records the hold time and the work of an answered call.
func (p *Pool) recordHoldTime(now time.Time, g *grant) {
	held := float64(now.Sub(g.grantedAt))
	p.meanHoldTime += ewmaGain * (held - p.meanHoldTime)
	p.queues[g.rank].recordHoldTime(held)
	p.recordWork(now, g, held)
}

// removeServer removes s from the pool.
func (p *Pool) removeServer(s *tracker.Server) {
	p.servers.RemoveServer(s)
	p.nearlyFull.removeServer(s)
	delete(p.cold.pacers, s)
}

// isListed reports whether the routing table lists a server at addr for the
// service of the pool.
func (p *Pool) isListed(addr netip.AddrPort) bool {
	s := p.appliedTable.Services[p.Key.Service]
	return s != nil && slices.ContainsFunc(s.Servers, func(b router.BackendServer) bool { return b.Address == addr })
}

func (p *Pool) removeQueued(id ID) {
	e := p.queued[id]
	if e == nil {
		return
	}
	delete(p.queued, id)
	qr := e.Value.(*queuedRequest)
	q := &p.queues[qr.Rank]
	q.requests.Remove(e)
	qr.route.waiting--
	if q.len() == 0 {
		q.credit = 0
	}
}
