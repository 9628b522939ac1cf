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
	// leastSamples and mostSamples bound the probes that run for a pool while
	// asks wait; there is one for each ask in between.
	leastSamples = 2
	mostSamples  = 6
	// sampleWait is the time after which a probe without a result no longer
	// delays the choice: several times that of a probe across zones.
	sampleWait = 25 * time.Millisecond
	// unknownWait is the wait of an ask after which it is granted a slot of a
	// server of which nothing is known.
	unknownWait = 3 * sampleWait
	// calm is the pace up to which a server is taken at once; the usual spread
	// of work is larger than the difference.
	calm = 1.5
	// slowAge is the age up to which a report of a slow pace is believed.
	slowAge = 100 * time.Millisecond
	// paceAge is the age from which a report says nothing: which machines are
	// slow changes about every 500 ms. A server would otherwise get no work for
	// long after one slow report.
	paceAge = 300 * time.Millisecond
	// neutral is the pace of a server without a report.
	neutral = 1.0
)

// choose returns the server for w, nil when it should wait.
func (p *Pool) choose(now time.Time, w *waiting) *tracker.Server {
	if p.fresh() {
		return p.chooseFresh(now, w, p.config.Probe.Fresh.Std())
	}
	return p.pick(now, w.Ask)
}

// fresh reports whether grants wait for fresh load reports.
func (p *Pool) fresh() bool { return p.config.Probe.Fresh > 0 && p.Sample != nil }

// option is a server that has a free slot.
type option struct {
	server *tracker.Server
	cost   float64 // Expected work relative to that of an idle server at its usual pace.
	pace   float64
}

func (p *Pool) chooseFresh(now time.Time, w *waiting, fresh time.Duration) *tracker.Server {
	var known, slow, stale []option
	pending := 0
	for _, s := range p.servers.Servers() {
		if p.room(now, s) == 0 || s.Paused(now) || slices.Contains(w.Avoid, s.Address) {
			continue
		}
		o := p.option(now, s)
		pace, age, ok := s.Pace(now)
		sampling := s.Sampling(now)
		switch {
		case ok && age <= fresh && pace <= calm:
			known = append(known, o)
		case ok && age <= slowAge && pace > calm:
			slow = append(slow, o)
		case sampling > 0 && sampling <= sampleWait:
			pending++
		case sampling > 0: // Late: neither waited for nor asked again.
		default:
			stale = append(stale, o)
		}
	}
	p.awaiting = false
	if best, ok := cheapest(known); ok {
		return best.server
	}
	pending += p.sample(now, stale, min(max(leastSamples, len(p.waits)), mostSamples)-pending)
	if p.awaiting = pending > 0; p.awaiting {
		return nil
	}
	return p.settle(now, w, slow)
}

// option returns what granting a slot of s costs.
func (p *Pool) option(now time.Time, s *tracker.Server) option {
	pace, age, ok := s.Pace(now)
	if !ok || age > paceAge {
		pace = neutral
	}
	busy := float64(s.InFlight()) + p.servers.Foreign(now, s)
	cost := pace * (1 + busy/float64(slotsOf(s))/4)
	if crowded(s, 1) {
		cost *= crowding
	}
	return option{s, cost + p.servers.Failures(now, s)*failureCost, pace}
}

// failureCost is the cost of a server whose calls all fail; it exceeds that of
// a server at the slowest usual pace.
const failureCost = 10

// cheapest returns the option of the least cost, ties at random.
func cheapest(all []option) (best option, ok bool) {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if len(all) == 0 {
		return option{}, false
	}
	return slices.MinFunc(all, func(a, b option) int { return cmp.Compare(a.cost, b.cost) }), true
}

// sample starts up to n probes of the options with the least cost and returns their number.
func (p *Pool) sample(now time.Time, stale []option, n int) int {
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

// settle chooses among free servers that are all slow. A call takes one only when
// it still meets its target there. Otherwise it waits: a call that fills the slot
// of a slow server for long keeps it from others when the server recovers.
func (p *Pool) settle(now time.Time, w *waiting, slow []option) *tracker.Server {
	best, ok := cheapest(slow)
	if !ok {
		if now.Sub(w.since) > unknownWait {
			return p.pick(now, w.Ask) // The probes of all free servers fail.
		}
		return nil
	}
	work := p.workOf(w.Ask)
	finish := now.Add(time.Duration(float64(work) * best.pace))
	if finish.After(w.Target) {
		return nil
	}
	return best.server
}

// workOf returns the expected work of a call at the usual pace.
func (p *Pool) workOf(a Ask) time.Duration {
	if work, ok := p.works.of(a.Route); ok {
		return work
	}
	if work := p.queues[a.Rank].work; work > 0 {
		return time.Duration(work)
	}
	return a.guess
}

// sampling reports whether a probe is under way for which asks wait.
func (p *Pool) sampling(now time.Time) bool {
	if !p.fresh() {
		return false
	}
	return slices.ContainsFunc(p.servers.Servers(), func(s *tracker.Server) bool {
		d := s.Sampling(now)
		return d > 0 && d <= sampleWait
	})
}

// tell says to the owner that the ask waits, once.
func (w *waiting) tell() {
	if !w.told {
		w.told = true
		w.Owner.Receive(Reply{Number: w.Number, Kind: Queued})
	}
}

// tellWaiting says to the owners of asks that these wait, once no probe may
// still bring a slot at once.
func (p *Pool) tellWaiting(now time.Time) {
	if len(p.waits) == 0 || p.sampling(now) {
		return
	}
	for _, e := range p.waits {
		e.Value.(*waiting).tell()
	}
}
