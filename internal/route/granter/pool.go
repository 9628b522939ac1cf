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

	servers tracker.Pool
	config  parser.Service
	known   *mapper.Map // Map of the last Sync.
	queues  [parser.Ranks]queue
	works   works
	crowd   crowd
	waits   map[ID]*list.Element
	grants  map[ID]*grant
	kept    int // Grants that entries keep between calls.
	hold    float64
	urgent  time.Time // Last urgent ask.
	spread  float64   // Slots of the whole service over those of the pool.
	scratch []picker.Candidate[*tracker.Server]
	order   []*waiting // Buffer of arrange.
	// awaiting is set when the last choice waits for probes.
	awaiting bool
}

// grant is a slot in use.
type grant struct {
	server   *tracker.Server
	rank     parser.Rank
	route    string
	guess    time.Duration // Work that was assumed at the grant.
	since    time.Time
	deadline time.Time
	pace     float64       // Pace of the server at the grant; 0 when unknown.
	crowded  time.Duration // Time in which the server was nearly full until the grant.
	kept     bool          // No call uses the slot; the entry keeps it for its next one.
	recalled bool
}

const (
	// grace is the time after the deadline of a call at which its slot counts
	// as lost; the entry cancels the call at the deadline and then says so.
	grace = 250 * time.Millisecond
	// recent is the time after an urgent ask for which the reserve is kept.
	recent = time.Second
	// maxScan bounds the asks looked at when all free servers are avoided.
	maxScan = 32
	// maxUnsuited bounds the asks for which no server suits that are looked at in
	// a row: what does not suit these hardly suits the next.
	maxUnsuited = 4
	// initialHold is the assumed time that a call uses a slot before any has ended.
	initialHold = float64(10 * time.Millisecond)
	holdGain    = 0.1
)

// Sync takes over the backend servers and the configuration of m.
func (p *Pool) Sync(now time.Time, m *mapper.Map) {
	if m == p.known {
		return
	}
	first := p.known == nil
	p.known = m
	if first {
		p.waits, p.grants = make(map[ID]*list.Element), make(map[ID]*grant)
		p.hold = initialHold
	}
	var members []mapper.BackendServer
	if s := m.Services[p.Key.Service]; s != nil {
		p.config = s.Service.WithDefaults()
		members = Members(s, p.Key)
		p.spread = spreadOf(s, members)
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
			p.forget(s) // Its grants end with the old process.
		}
		s := p.servers.Add(now, b.Name, b.Address, cold)
		s.Born = b.Born
		p.servers.Size(now, s, b.Slots)
		p.servers.Leave(now, s, b.Leaving)
		p.recallFrom(now, s)
	}
	for _, s := range slices.Clone(p.servers.Servers()) {
		if listed[s.Address] {
			continue
		}
		p.servers.Leave(now, s, true)
		p.recallFrom(now, s)
		if s.InFlight() == 0 {
			p.forget(s)
		}
	}
	p.refuseAll(now)
	p.dispatch(now)
}

// refuseAll refuses the queued asks of a pool that has no servers left.
func (p *Pool) refuseAll(now time.Time) {
	for id, e := range p.waits {
		if w := e.Value.(*waiting); !p.servable(now, w.Avoid) {
			p.refuse(now, w.Ask, None)
			p.remove(id)
		}
	}
}

// Ask grants a free slot, queues the ask or refuses it.
func (p *Pool) Ask(now time.Time, a Ask) {
	a.Rank = min(a.Rank, parser.Patient)
	if a.Rank == parser.Urgent {
		p.urgent = now
	}
	switch {
	case !p.servable(now, a.Avoid):
		p.refuse(now, a, None)
		return
	case !a.Deadline.After(now):
		p.refuse(now, a, Late)
		return
	}
	q := &p.queues[a.Rank]
	if a.Target.IsZero() {
		a.Target = a.Deadline
	}
	a.guess = time.Duration(guessShare * float64(a.Target.Sub(now)))
	if a.Target.After(a.Deadline) {
		a.Target = a.Deadline
	}
	if p.hopeless(now, a) {
		p.refuse(now, a, Late)
		return
	}
	w := &waiting{Ask: a, since: now}
	p.waits[a.ID] = q.asks.PushBack(w)
	p.dispatch(now)
	if p.waits[a.ID] == nil {
		return
	}
	newest := q.overloaded(now)
	switch {
	case q.len() > p.capacity():
		drop := q.asks.Front().Value.(*waiting).Ask
		if !newest {
			drop = a
		}
		p.remove(drop.ID)
		p.refuse(now, drop, Full)
		if drop.ID == a.ID {
			return
		}
	case !p.fresh() && !newest && now.Add(p.backlog(now, a.Rank)+p.serviceTime(now)).After(a.Deadline):
		p.remove(a.ID)
		p.refuse(now, a, Late)
		return
	}
	if !p.sampling(now) {
		w.tell()
	}
}

// servable reports whether any server may ever run a call that avoids avoid.
func (p *Pool) servable(now time.Time, avoid []netip.AddrPort) bool {
	for _, s := range p.servers.Servers() {
		if st := s.State(now); st != tracker.Leaving && st != tracker.Draining && !slices.Contains(avoid, s.Address) {
			return true
		}
	}
	return false
}

// Cancel withdraws an ask, or gives back the slot that was granted for it.
func (p *Pool) Cancel(now time.Time, id ID) {
	p.remove(id)
	if p.release(id, nil, now) {
		p.dispatch(now)
	}
}

// Done gives back a slot with the result of the call.
func (p *Pool) Done(now time.Time, id ID, r tracker.Result) {
	if p.release(id, &r, now) {
		p.dispatch(now)
	}
}

// Held counts a slot that another home granted.
func (p *Pool) Held(now time.Time, id ID, addr netip.AddrPort, rank parser.Rank, deadline time.Time) {
	s := p.servers.Find(addr)
	if s == nil || p.grants[id] != nil {
		return
	}
	p.remove(id)
	p.grant(now, s, Ask{ID: id, Rank: min(rank, parser.Patient), Deadline: deadline})
}

// Close drops the asks and grants of a session that ended.
func (p *Pool) Close(now time.Time, owner Receiver) {
	for id := range p.waits {
		if id.Owner == owner {
			p.remove(id)
		}
	}
	for id := range p.grants {
		if id.Owner == owner {
			p.release(id, nil, now)
		}
	}
	p.dispatch(now)
}

// Observe takes in the result of a probe.
func (p *Pool) Observe(now time.Time, addr netip.AddrPort, f tracker.Figure) {
	if s := p.servers.Find(addr); s != nil {
		p.servers.Observe(now, s, f)
		p.recallFrom(now, s)
		p.dispatch(now)
		p.tellWaiting(now)
	}
}

// Reset drops figures that are stale after a pause of the process.
func (p *Pool) Reset(now time.Time) {
	p.servers.Reset(now)
	p.hold = initialHold
	p.Tick(now)
}

// Tick refuses asks that have become late, drops grants whose deadlines passed
// and serves asks for which time has freed a slot.
func (p *Pool) Tick(now time.Time) {
	for id, g := range p.grants {
		if now.Sub(g.deadline) > grace {
			p.release(id, nil, now)
		}
	}
	p.dispatch(now)
	p.tellWaiting(now)
	for id, e := range p.waits {
		if w := e.Value.(*waiting); p.late(now, w) {
			p.remove(id)
			p.refuse(now, w.Ask, Late)
		}
	}
}

// Waiting returns the number of queued asks.
func (p *Pool) Waiting() int { return len(p.waits) }

// Granted returns the number of slots in use.
func (p *Pool) Granted() int { return len(p.grants) }

// grant counts a slot of s as in use by a.
func (p *Pool) grant(now time.Time, s *tracker.Server, a Ask) {
	pace, _, _ := s.Pace(now)
	p.servers.Take(s)
	p.grants[a.ID] = &grant{
		server: s, rank: a.Rank, route: a.Route, guess: a.guess, since: now, deadline: a.Deadline,
		pace: pace, crowded: p.crowdedTime(now, s),
	}
}

// release ends a grant; r is nil when the result is unknown.
func (p *Pool) release(id ID, r *tracker.Result, now time.Time) bool {
	g := p.grants[id]
	if g == nil {
		return false
	}
	delete(p.grants, id)
	if g.kept {
		p.kept--
	}
	if r == nil || r.Failed && p.hurried(now, g) {
		p.servers.Drop(g.server)
	} else {
		p.servers.Finish(now, g.server, *r)
		p.recallFrom(now, g.server)
		if !r.Failed && !r.Refused && !r.Lost {
			p.learn(now, g)
		}
	}
	p.crowdedTime(now, g.server)
	if g.server.State(now) == tracker.Leaving && g.server.InFlight() == 0 && !p.member(g.server.Address) {
		p.forget(g.server)
	}
	return true
}

// learn takes in the time for which a call that was answered used its slot.
func (p *Pool) learn(now time.Time, g *grant) {
	held := float64(now.Sub(g.since))
	p.hold += holdGain * (held - p.hold)
	p.queues[g.rank].held(held)
	p.worked(now, g, held)
}

// forget drops a server.
func (p *Pool) forget(s *tracker.Server) {
	p.servers.Remove(s)
	p.crowd.forget(s)
}

func (p *Pool) member(addr netip.AddrPort) bool {
	s := p.known.Services[p.Key.Service]
	return s != nil && slices.ContainsFunc(s.Servers, func(b mapper.BackendServer) bool { return b.Address == addr })
}

func (p *Pool) remove(id ID) {
	e := p.waits[id]
	if e == nil {
		return
	}
	delete(p.waits, id)
	q := &p.queues[e.Value.(*waiting).Rank]
	q.asks.Remove(e)
	if q.len() == 0 {
		q.credit = 0
	}
}
