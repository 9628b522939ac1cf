package allocator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Backend servers share their machines with other processes. At any moment a
// quarter or more of them can be several times slower than usual, and which ones
// changes within a second. A call on a slow server misses its target, while a
// probe is cheap and fast. Before it grants a slot, the home therefore probes at
// least two free servers for their slowdown, unless it already has a fresh
// report of a free server at normal speed.
const (
	// minProbes and maxProbes limit the probes in progress for a pool while
	// requests wait. Between these limits there is one probe per request.
	minProbes = 2
	maxProbes = 6
	// maxProbeWait is the time for which a choice waits for the result of a
	// probe. It is several times the duration of a probe across zones.
	maxProbeWait = 25 * time.Millisecond
	// maxUnknownSlowdownWait is the wait of a request after which it may be
	// granted a slot on a server of unknown slowdown.
	maxUnknownSlowdownWait = 3 * maxProbeWait
	// maxNormalSlowdown is the highest slowdown that counts as normal. A server
	// up to it is granted without further probes, since the work of single calls
	// varies by more than that.
	maxNormalSlowdown = 1.5
	// maxHighSlowdownAge is the age up to which a server with a reported slowdown
	// above maxNormalSlowdown counts as slow without another probe. The estimate
	// of the wait also ignores reports that are older.
	maxHighSlowdownAge = 100 * time.Millisecond
	// maxSlowdownAge is the age up to which a reported slowdown counts in the cost
	// of a server. Servers of low cost are probed first, so a server whose slowdown
	// was high is probed after the others until then. Which machines are slow
	// changes about every 500 ms, and without this limit a server would get no
	// calls for a long time after a single slow report.
	maxSlowdownAge = 300 * time.Millisecond
	// defaultSlowdown is the slowdown assumed in the cost of a server without a
	// report or with one older than maxSlowdownAge.
	defaultSlowdown = 1.0
)

// chooseServer returns the server whose slot is granted to qr, or nil when qr
// should wait.
func (p *Pool) chooseServer(now time.Time, qr *queuedRequest) *tracker.Server {
	if p.usesFreshReports() {
		return p.chooseByFreshReports(now, qr, p.config.Probe.Fresh.AsDuration())
	}
	return p.pickServer(now, qr.SlotRequest)
}

// usesFreshReports reports whether the pool probes servers and grants by fresh
// load reports.
func (p *Pool) usesFreshReports() bool { return p.config.Probe.Fresh > 0 && p.StartProbe != nil }

// option is a server with a free slot, as a candidate for a grant.
type option struct {
	server   *tracker.Server
	cost     float64 // Expected duration of a call relative to that on an idle server at its usual speed, plus a penalty for failures.
	slowdown float64
}

// options holds the servers with free slots that a request may use, by what is known of
// them.
type options struct {
	normal, slow, stale, unprobed, refusing, staleRefusing []option

	pending int // Servers whose probes are in progress.
}

// chooseByFreshReports returns the cheapest free server that is at normal speed by
// a report of at most maxAge. If there is none, it starts probes of the free
// servers without a usable report and returns nil while it waits for results. When
// there are none to wait for, it considers the servers that may not be probed, then
// those that refuse calls while they are free, and then the slow ones.
func (p *Pool) chooseByFreshReports(now time.Time, qr *queuedRequest, maxAge time.Duration) *tracker.Server {
	o := p.options(now, qr, maxAge)
	p.awaitingProbes = false
	if best, ok := cheapestOption(o.normal); ok {
		return best.server
	}
	o.pending += p.startProbes(now, o.stale, min(max(minProbes, len(p.queued)), maxProbes)-o.pending)
	if p.awaitingProbes = o.pending > 0; p.awaitingProbes {
		return nil
	}
	if best, ok := cheapestOption(o.unprobed); ok {
		return best.server
	}
	if best, ok := cheapestOption(o.refusing); ok {
		return best.server
	}
	return p.chooseSlowServer(now, qr, o.slow)
}

// options returns the servers that qr may use.
func (p *Pool) options(now time.Time, qr *queuedRequest, maxAge time.Duration) *options {
	o := new(options)
	for _, s := range p.servers.Servers() {
		proven := p.availableSlots(now, s) > 0
		if !proven && !p.needsProof(now, s) || s.InProbeBackoff(now) || slices.Contains(qr.Avoid, s.Address) {
			continue
		}
		slowdown, age, ok := s.Slowdown(now)
		isFresh := proven && ok && age <= maxAge
		switch {
		case isFresh && p.isLimited(now, s):
			o.slow = append(o.slow, p.serverOption(now, s))
		case isFresh && slowdown <= maxNormalSlowdown && p.servers.IsRefusing(now, s):
			o.refusing = append(o.refusing, p.serverOption(now, s))
		case isFresh && slowdown <= maxNormalSlowdown:
			o.normal = append(o.normal, p.serverOption(now, s))
		case proven && ok && age <= maxHighSlowdownAge && slowdown > maxNormalSlowdown:
			o.slow = append(o.slow, p.serverOption(now, s))
		default:
			p.addUnknown(now, o, s, proven)
		}
	}
	if len(o.stale) == 0 && o.pending == 0 && len(o.refusing) == 0 {
		o.stale = o.staleRefusing
	}
	return o
}

// addUnknown adds s, of which no usable report is known, to o. Proven tells whether s has
// a free slot for certain.
func (p *Pool) addUnknown(now time.Time, o *options, s *tracker.Server, proven bool) {
	probeAge := s.PendingProbeAge(now)
	switch {
	case probeAge > 0 && probeAge <= maxProbeWait:
		o.pending++
	case p.MayProbe != nil && !p.MayProbe(now, s):
		if proven {
			o.unprobed = append(o.unprobed, p.serverOption(now, s))
		}
	case probeAge > 0: // The probe is late: do not wait for it and do not start another.
	case p.servers.IsRefusing(now, s):
		o.staleRefusing = append(o.staleRefusing, p.serverOption(now, s))
	default:
		o.stale = append(o.stale, p.serverOption(now, s))
	}
}

// serverOption returns s with the cost of granting one of its slots.
func (p *Pool) serverOption(now time.Time, s *tracker.Server) option {
	slowdown, age, ok := s.Slowdown(now)
	if !ok || age > maxSlowdownAge {
		slowdown = defaultSlowdown
	}
	if p.isLimited(now, s) {
		slowdown = max(slowdown, coldSlowdown)
	}
	inFlight := float64(s.InFlight()) + p.servers.ExternalInFlight(now, s)
	cost := slowdown * (1 + inFlight/float64(serverSlots(s))/4)
	if isNearlyFull(s, 1) {
		cost *= nearlyFullCostFactor
	}
	cost += p.servers.WeightedFailureRatio(now, s)*failureCost + float64(s.SilentCalls(now))*silentCost
	return option{s, cost, slowdown}
}

// failureCost is the cost added for a failure ratio of 1. It exceeds the cost of
// a server at the highest slowdown commonly seen.
const failureCost = 10

// cheapestOption returns the option with the lowest cost and breaks ties at
// random. It returns false when all is empty.
func cheapestOption(all []option) (best option, ok bool) {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if len(all) == 0 {
		return option{}, false
	}
	return slices.MinFunc(all, func(a, b option) int { return cmp.Compare(a.cost, b.cost) }), true
}

// startProbes starts probes of up to n of the servers with the lowest cost and
// returns the number started.
func (p *Pool) startProbes(now time.Time, stale []option, n int) int {
	if n <= 0 || len(stale) == 0 {
		return 0
	}
	rand.Shuffle(len(stale), func(i, j int) { stale[i], stale[j] = stale[j], stale[i] })
	slices.SortStableFunc(stale, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	stale = stale[:min(n, len(stale))]
	for _, o := range stale {
		o.server.MarkProbeSent(now)
		p.StartProbe(o.server)
	}
	return len(stale)
}

// chooseSlowServer returns the cheapest of the free servers, which are all slow,
// if qr still meets its target there, and nil otherwise. A call that missed its
// target on a slow server would occupy the slot for a long time and block it for
// other calls once the server recovers. When the slowdown of no free server is
// known, qr waits for maxUnknownSlowdownWait and then gets the server that
// pickServer returns.
func (p *Pool) chooseSlowServer(now time.Time, qr *queuedRequest, slow []option) *tracker.Server {
	best, ok := cheapestOption(slow)
	if !ok {
		if now.Sub(qr.queuedAt) > maxUnknownSlowdownWait {
			return p.pickServer(now, qr.SlotRequest) // The probes of all free servers failed or are late.
		}
		return nil
	}
	work := p.expectedWork(qr.SlotRequest)
	finish := now.Add(time.Duration(float64(work) * best.slowdown))
	if finish.After(qr.Target) {
		return nil
	}
	return best.server
}

// expectedWork returns the expected work of the call of req, its duration on a
// server at the usual speed: the estimate for its route, else that for its rank,
// else the work assumed from its target.
func (p *Pool) expectedWork(req SlotRequest) time.Duration {
	if work, ok := p.routeWork.expected(req.Route); ok {
		return work
	}
	if work := p.queues[req.Rank].meanWork; work > 0 {
		return time.Duration(work)
	}
	return req.assumedWork
}

// probePending reports whether a probe is in progress whose result requests
// still wait for.
func (p *Pool) probePending(now time.Time) bool {
	if !p.usesFreshReports() {
		return false
	}
	return slices.ContainsFunc(p.servers.Servers(), func(s *tracker.Server) bool {
		d := s.PendingProbeAge(now)
		return d > 0 && d <= maxProbeWait
	})
}

// notifyQueued tells the owner, once, that its request waits.
func (p *Pool) notifyQueued(now time.Time, qr *queuedRequest) {
	if !qr.notified {
		qr.notified = true
		qr.Owner.ReceiveReply(Reply{Number: qr.Number, Kind: ReplyQueued, Load: p.currentLoad(now)})
	}
}

// notifyAllQueued tells the owners of all queued requests that these wait,
// unless a probe in progress may still lead to a grant. An owner that is told
// asks other homes too, which costs traffic between zones.
func (p *Pool) notifyAllQueued(now time.Time) {
	if len(p.queued) == 0 || p.probePending(now) {
		return
	}
	for _, e := range p.queued {
		p.notifyQueued(now, e.Value.(*queuedRequest))
	}
}
