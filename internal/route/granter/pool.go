package granter

import (
	"container/list"
	"net/netip"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/route/mapper"
	"sardinelever.example/sardinelever/internal/route/picker"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Pool counts the slots of the backend servers of one pool and queues asks.
// It reads no clock and is not safe for concurrent use.
type Pool struct {
	Key      Key
	Audit    *auditor.Auditor
	Settings tracker.Settings               // Slots is taken from the configuration.
	Policy   picker.Policy[*tracker.Server] // nil means the lowest score.
	Jitter   func() float64                 // Factor of Retry-After; nil means random from 0.5 to 1.5.
	Sample   func(*tracker.Server)          // Starts a probe, whose result Observe takes; nil means that none is possible.

	servers         tracker.Pool
	config          parser.Service
	syncedMap       *mapper.Map // Map of the last Sync.
	queues          [parser.Ranks]queue
	routeWork       workEstimates
	slowdown        slowdownEstimator
	queued          map[ID]*list.Element
	grants          map[ID]*grant
	keptCount       int // Grants that entries keep between calls.
	meanHoldTime    float64
	lastUrgent      time.Time // Last urgent ask.
	slotRatio       float64   // Slots of the whole service over those of the pool.
	candidateBuffer []picker.Candidate[*tracker.Server]
	orderBuffer     []*queuedRequest // Buffer of arrange.
	// awaitingProbes is set when the last choice waits for probes.
	awaitingProbes bool
}

// grant is a slot in use.
type grant struct {
	server         *tracker.Server
	rank           parser.Rank
	route          string
	assumedWork    time.Duration // Work that was assumed at the grant.
	grantedAt      time.Time
	deadline       time.Time
	pace           float64       // Pace of the server at the grant; 0 when unknown.
	nearlyFullTime time.Duration // Time in which the server was nearly full until the grant.
	kept           bool          // No call uses the slot; the entry keeps it for its next one.
	recalled       bool
}

const (
	// grantGrace is the time after the deadline of a call at which its slot counts
	// as lost; the entry cancels the call at the deadline and then says so.
	grantGrace = 250 * time.Millisecond
	// urgentReserveTime is the time after an urgent ask for which the reserve is kept.
	urgentReserveTime = time.Second
	// maxScannedRequests bounds the asks looked at when all free servers are avoided.
	maxScannedRequests = 32
	// maxUnsuitedRequests bounds the asks for which no server suits that are looked at in
	// a row: what does not suit these hardly suits the next.
	maxUnsuitedRequests = 4
	// initialHoldTime is the assumed time that a call uses a slot before any has ended.
	initialHoldTime = float64(10 * time.Millisecond)
	ewmaGain        = 0.1
)

// Sync takes over the backend servers and the configuration of m.
func (p *Pool) Sync(now time.Time, m *mapper.Map) {
	if m == p.syncedMap {
		return
	}
	first := p.syncedMap == nil
	p.syncedMap = m
	if first {
		p.queued, p.grants = make(map[ID]*list.Element), make(map[ID]*grant)
		p.meanHoldTime = initialHoldTime
	}
	var members []mapper.BackendServer
	if s := m.Services[p.Key.Service]; s != nil {
		p.config = s.Service.WithDefaults()
		members = Members(s, p.Key)
		p.slotRatio = serviceSlotRatio(s, members)
	}
	if first {
		p.servers = tracker.Pool{Settings: p.Settings, Audit: p.Audit}
		p.servers.Settings.Slots = p.config.Slots
	} else {
		p.servers.Resize(now, p.config.Slots)
	}
	// Servers of a new home are most likely warm; those that appear later are cold.
	cold := len(p.servers.Servers()) > 0
	listed := make(map[netip.AddrPort]bool, len(members))
	for i := range members {
		b := &members[i]
		listed[b.Address] = true
		if s := p.servers.Find(b.Address); s != nil && (s.Name != b.Name || s.Born != b.Born) {
			p.removeServer(s) // Its grants end with the old process.
		}
		s := p.servers.Add(now, b.Name, b.Address, cold)
		s.Born = b.Born
		p.servers.Size(now, s, b.Slots)
		p.servers.Leave(now, s, b.Leaving)
		p.recallUnfit(now, s)
	}
	for _, s := range slices.Clone(p.servers.Servers()) {
		if listed[s.Address] {
			continue
		}
		p.servers.Leave(now, s, true)
		p.recallUnfit(now, s)
		if s.InFlight() == 0 {
			p.removeServer(s)
		}
	}
	p.refuseUnservable(now)
	p.dispatch(now)
}

// refuseUnservable refuses the queued asks of a pool that has no servers left.
func (p *Pool) refuseUnservable(now time.Time) {
	for id, e := range p.queued {
		if w := e.Value.(*queuedRequest); !p.hasUsableServer(now, w.Avoid) {
			p.refuseRequest(now, w.Ask, None)
			p.removeQueued(id)
		}
	}
}

// Ask grants a free slot, queues the ask or refuses it.
func (p *Pool) Ask(now time.Time, a Ask) {
	a.Rank = min(a.Rank, parser.Patient)
	if a.Rank == parser.Urgent {
		p.lastUrgent = now
	}
	switch {
	case !p.hasUsableServer(now, a.Avoid):
		p.refuseRequest(now, a, None)
		return
	case !a.Deadline.After(now):
		p.refuseRequest(now, a, Late)
		return
	}
	q := &p.queues[a.Rank]
	if a.Target.IsZero() {
		a.Target = a.Deadline
	}
	a.assumedWork = time.Duration(assumedWorkShare * float64(a.Target.Sub(now)))
	if a.Target.After(a.Deadline) {
		a.Target = a.Deadline
	}
	if p.missesDeadline(now, a) {
		p.refuseRequest(now, a, Late)
		return
	}
	w := &queuedRequest{Ask: a, queuedAt: now}
	p.queued[a.ID] = q.requests.PushBack(w)
	p.dispatch(now)
	if p.queued[a.ID] == nil {
		return
	}
	newestFirst := q.overloaded(now)
	switch {
	case q.len() > p.queueLimit():
		dropped := q.requests.Front().Value.(*queuedRequest).Ask
		if !newestFirst {
			dropped = a
		}
		p.removeQueued(dropped.ID)
		p.refuseRequest(now, dropped, Full)
		if dropped.ID == a.ID {
			return
		}
	case !p.usesFreshReports() && !newestFirst && now.Add(p.queueWait(now, a.Rank)+p.medianLatency(now)).After(a.Deadline):
		p.removeQueued(a.ID)
		p.refuseRequest(now, a, Late)
		return
	}
	if !p.probePending(now) {
		w.notifyQueued()
	}
}

// hasUsableServer reports whether any server may ever run a call that avoids avoid.
func (p *Pool) hasUsableServer(now time.Time, avoid []netip.AddrPort) bool {
	for _, s := range p.servers.Servers() {
		if st := s.State(now); st != tracker.Leaving && st != tracker.Draining && !slices.Contains(avoid, s.Address) {
			return true
		}
	}
	return false
}

// Cancel withdraws an ask, or gives back the slot that was granted for it.
func (p *Pool) Cancel(now time.Time, id ID) {
	p.removeQueued(id)
	if p.releaseSlot(id, nil, now) {
		p.dispatch(now)
	}
}

// Done gives back a slot with the result of the call.
func (p *Pool) Done(now time.Time, id ID, r tracker.Result) {
	if p.releaseSlot(id, &r, now) {
		p.dispatch(now)
	}
}

// Held counts a slot that another home granted.
func (p *Pool) Held(now time.Time, id ID, addr netip.AddrPort, rank parser.Rank, deadline time.Time) {
	s := p.servers.Find(addr)
	if s == nil || p.grants[id] != nil {
		return
	}
	p.removeQueued(id)
	p.grantSlot(now, s, Ask{ID: id, Rank: min(rank, parser.Patient), Deadline: deadline})
}

// Close drops the asks and grants of a session that ended.
func (p *Pool) Close(now time.Time, owner Receiver) {
	for id := range p.queued {
		if id.Owner == owner {
			p.removeQueued(id)
		}
	}
	for id := range p.grants {
		if id.Owner == owner {
			p.releaseSlot(id, nil, now)
		}
	}
	p.dispatch(now)
}

// Observe takes in the result of a probe.
func (p *Pool) Observe(now time.Time, addr netip.AddrPort, f tracker.Figure) {
	if s := p.servers.Find(addr); s != nil {
		p.servers.Observe(now, s, f)
		p.recallUnfit(now, s)
		p.dispatch(now)
		p.notifyAllQueued(now)
	}
}

// Reset drops figures that are stale after a pause of the process.
func (p *Pool) Reset(now time.Time) {
	p.servers.Reset(now)
	p.meanHoldTime = initialHoldTime
	p.Tick(now)
}

// Tick refuses asks that have become late, drops grants whose deadlines passed
// and serves asks for which time has freed a slot.
func (p *Pool) Tick(now time.Time) {
	for id, g := range p.grants {
		if now.Sub(g.deadline) > grantGrace {
			p.releaseSlot(id, nil, now)
		}
	}
	p.dispatch(now)
	p.notifyAllQueued(now)
	for id, e := range p.queued {
		if w := e.Value.(*queuedRequest); p.shouldRefuse(now, w) {
			p.removeQueued(id)
			p.refuseRequest(now, w.Ask, Late)
		}
	}
}

// Waiting returns the number of queued asks.
func (p *Pool) Waiting() int { return len(p.queued) }

// Granted returns the number of slots in use.
func (p *Pool) Granted() int { return len(p.grants) }

// grantSlot counts a slot of s as in use by a.
func (p *Pool) grantSlot(now time.Time, s *tracker.Server, a Ask) {
	pace, _, _ := s.Pace(now)
	p.servers.Take(s)
	p.grants[a.ID] = &grant{
		server: s, rank: a.Rank, route: a.Route, assumedWork: a.assumedWork, grantedAt: now, deadline: a.Deadline,
		pace: pace, nearlyFullTime: p.nearlyFullTime(now, s),
	}
}

// releaseSlot ends a grant; r is nil when the result is unknown.
func (p *Pool) releaseSlot(id ID, r *tracker.Result, now time.Time) bool {
	g := p.grants[id]
	if g == nil {
		return false
	}
	delete(p.grants, id)
	if g.kept {
		p.keptCount--
	}
	if r == nil || r.Failed && p.cutByDeadline(now, g) {
		p.servers.Drop(g.server)
	} else {
		p.servers.Finish(now, g.server, *r)
		p.recallUnfit(now, g.server)
		if !r.Failed && !r.Refused && !r.Lost {
			p.recordHoldTime(now, g)
		}
	}
	p.nearlyFullTime(now, g.server)
	if g.server.State(now) == tracker.Leaving && g.server.InFlight() == 0 && !p.isListed(g.server.Address) {
		p.removeServer(g.server)
	}
	return true
}

// recordHoldTime takes in the time for which a call that was answered used its slot.
func (p *Pool) recordHoldTime(now time.Time, g *grant) {
	held := float64(now.Sub(g.grantedAt))
	p.meanHoldTime += ewmaGain * (held - p.meanHoldTime)
	p.queues[g.rank].recordHoldTime(held)
	p.recordWork(now, g, held)
}

// removeServer drops a server.
func (p *Pool) removeServer(s *tracker.Server) {
	p.servers.Remove(s)
	p.slowdown.removeServer(s)
}

func (p *Pool) isListed(addr netip.AddrPort) bool {
	s := p.syncedMap.Services[p.Key.Service]
	return s != nil && slices.ContainsFunc(s.Servers, func(b mapper.BackendServer) bool { return b.Address == addr })
}

func (p *Pool) removeQueued(id ID) {
	e := p.queued[id]
	if e == nil {
		return
	}
	delete(p.queued, id)
	q := &p.queues[e.Value.(*queuedRequest).Rank]
	q.requests.Remove(e)
	if q.len() == 0 {
		q.credit = 0
	}
}
