package granter

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Backend servers share their machines with others, so a quarter or more of
// them work several times slower at any moment, and which ones changes within a
// second. A slot of a slow server costs a call its target, while a probe is
// cheap and quick: so the home asks two free servers for their pace just before
// it grants, unless it knows one by a fresh report.
const (
	// minProbes and mostSamples bound the probes that run for a pool while
	// asks wait; there is one for each ask in between.
	minProbes = 2
	maxProbes = 6
	// maxProbeWait is the time after which a probe without a result no longer
	// delays the choice: several times that of a probe across zones.
	maxProbeWait = 25 * time.Millisecond
	// maxUnknownPaceWait is the wait of an ask after which it is granted a slot of a
	// server of which nothing is known.
	maxUnknownPaceWait = 3 * maxProbeWait
	// maxNormalPace is the pace up to which a server is taken at once; the usual spread
	// of work is larger than the difference.
	maxNormalPace = 1.5
	// maxSlowPaceAge is the age up to which a report of a slow pace is believed.
	maxSlowPaceAge = 100 * time.Millisecond
	// maxPaceAge is the age from which a report says nothing: which machines are
	// slow changes about every 500 ms. A server would otherwise get no work for
	// long after one slow report.
	maxPaceAge = 300 * time.Millisecond
	// defaultPace is the pace of a server without a report.
	defaultPace = 1.0
)

// chooseServer returns the server for w, nil when it should wait.
func (p *Pool) chooseServer(now time.Time, w *queuedRequest) *tracker.Server {
	if p.usesFreshReports() {
		return p.chooseByFreshReports(now, w, p.config.Probe.Fresh.Std())
	}
	return p.pickServer(now, w.Ask)
}

// usesFreshReports reports whether grants wait for fresh load reports.
func (p *Pool) usesFreshReports() bool { return p.config.Probe.Fresh > 0 && p.Sample != nil }

// option is a server that has a free slot.
type option struct {
	server *tracker.Server
	cost   float64 // Expected work relative to that of an idle server at its usual pace.
	pace   float64
}

func (p *Pool) chooseByFreshReports(now time.Time, w *queuedRequest, maxAge time.Duration) *tracker.Server {
	var normal, slow, stale []option
	pending := 0
	for _, s := range p.servers.Servers() {
		if p.available(now, s) == 0 || s.Paused(now) || slices.Contains(w.Avoid, s.Address) {
			continue
		}
		o := p.serverOption(now, s)
		pace, age, ok := s.Pace(now)
		probeAge := s.Sampling(now)
		switch {
		case ok && age <= maxAge && pace <= maxNormalPace:
			normal = append(normal, o)
		case ok && age <= maxSlowPaceAge && pace > maxNormalPace:
			slow = append(slow, o)
		case probeAge > 0 && probeAge <= maxProbeWait:
			pending++
		case probeAge > 0: // Late: neither waited for nor asked again.
		default:
			stale = append(stale, o)
		}
	}
	p.awaitingProbes = false
	if best, ok := cheapestOption(normal); ok {
		return best.server
	}
	pending += p.startProbes(now, stale, min(max(minProbes, len(p.queued)), maxProbes)-pending)
	if p.awaitingProbes = pending > 0; p.awaitingProbes {
		return nil
	}
	return p.chooseSlowServer(now, w, slow)
}

// serverOption returns what granting a slot of s costs.
func (p *Pool) serverOption(now time.Time, s *tracker.Server) option {
	pace, age, ok := s.Pace(now)
	if !ok || age > maxPaceAge {
		pace = defaultPace
	}
	busy := float64(s.InFlight()) + p.servers.Foreign(now, s)
	cost := pace * (1 + busy/float64(serverSlots(s))/4)
	if isNearlyFull(s, 1) {
		cost *= nearlyFullCostFactor
	}
	return option{s, cost + p.servers.Failures(now, s)*failureCost, pace}
}

// failureCost is the cost of a server whose calls all fail; it exceeds that of
// a server at the slowest usual pace.
const failureCost = 10

// cheapestOption returns the option of the least cost, ties at random.
func cheapestOption(all []option) (best option, ok bool) {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if len(all) == 0 {
		return option{}, false
	}
	return slices.MinFunc(all, func(a, b option) int { return cmp.Compare(a.cost, b.cost) }), true
}

// startProbes starts up to n probes of the options with the least cost and returns their number.
func (p *Pool) startProbes(now time.Time, stale []option, n int) int {
	if n <= 0 || len(stale) == 0 {
		return 0
	}
	rand.Shuffle(len(stale), func(i, j int) { stale[i], stale[j] = stale[j], stale[i] })
	slices.SortStableFunc(stale, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	stale = stale[:min(n, len(stale))]
	for _, o := range stale {
		o.server.Sampled(now)
		p.Sample(o.server)
	}
	return len(stale)
}

// chooseSlowServer chooses among free servers that are all slow. A call takes one only when
// it still meets its target there. Otherwise it waits: a call that fills the slot
// of a slow server for long keeps it from others when the server recovers.
func (p *Pool) chooseSlowServer(now time.Time, w *queuedRequest, slow []option) *tracker.Server {
	best, ok := cheapestOption(slow)
	if !ok {
		if now.Sub(w.queuedAt) > maxUnknownPaceWait {
			return p.pickServer(now, w.Ask) // The probes of all free servers fail.
		}
		return nil
	}
	work := p.expectedWork(w.Ask)
	finish := now.Add(time.Duration(float64(work) * best.pace))
	if finish.After(w.Target) {
		return nil
	}
	return best.server
}

// expectedWork returns the expected work of a call at the usual pace.
func (p *Pool) expectedWork(a Ask) time.Duration {
	if work, ok := p.routeWork.expected(a.Route); ok {
		return work
	}
	if work := p.queues[a.Rank].meanWork; work > 0 {
		return time.Duration(work)
	}
	return a.assumedWork
}

// probePending reports whether a probe is under way for which asks wait.
func (p *Pool) probePending(now time.Time) bool {
	if !p.usesFreshReports() {
		return false
	}
	return slices.ContainsFunc(p.servers.Servers(), func(s *tracker.Server) bool {
		d := s.Sampling(now)
		return d > 0 && d <= maxProbeWait
	})
}

// notifyQueued says to the owner that the ask waits, once.
func (w *queuedRequest) notifyQueued() {
	if !w.notified {
		w.notified = true
		w.Owner.Receive(Reply{Number: w.Number, Kind: Queued})
	}
}

// notifyAllQueued says to the owners of asks that these wait, once no probe may
// still bring a slot at once.
func (p *Pool) notifyAllQueued(now time.Time) {
	if len(p.queued) == 0 || p.probePending(now) {
		return
	}
	for _, e := range p.queued {
		e.Value.(*queuedRequest).notifyQueued()
	}
}
