package tracker

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// Pool tracks the backend servers of one pool. It is not safe for concurrent use.
type Pool struct {
	Settings Settings
	Audit    *auditor.Auditor // nil drops the changes.

	servers  []*Server
	index    map[netip.AddrPort]*Server
	median   float64
	worst    float64 // Highest expected latency when the median was taken.
	medianAt time.Time
}

// Servers returns the servers in order of address; the slice must not be changed.
func (p *Pool) Servers() []*Server { return p.servers }

// Find returns the server at addr, or nil.
func (p *Pool) Find(addr netip.AddrPort) *Server { return p.index[addr] }

// Add adds a server. A cold one starts with a limit of 1.
func (p *Pool) Add(now time.Time, name string, addr netip.AddrPort, cold bool) *Server {
	if p.index == nil {
		p.Settings = p.Settings.filled()
		p.index = make(map[netip.AddrPort]*Server)
	}
	if s := p.index[addr]; s != nil {
		return s
	}
	s := &Server{Name: name, Address: addr, limit: p.Settings.Slots, turned: now, busy: -1}
	if cold {
		s.limit, s.cold = 1, p.Settings.Slots > 1
	}
	p.index[addr] = s
	at, _ := slices.BinarySearchFunc(p.servers, addr, func(s *Server, a netip.AddrPort) int { return s.Address.Compare(a) })
	p.servers = slices.Insert(p.servers, at, s)
	return s
}

// Remove forgets a server.
func (p *Pool) Remove(s *Server) {
	delete(p.index, s.Address)
	p.servers = slices.DeleteFunc(p.servers, func(o *Server) bool { return o == s })
}

// Leave says whether the platform's list shows the server as leaving.
func (p *Pool) Leave(now time.Time, s *Server, leaving bool) {
	if s.leaving == leaving {
		return
	}
	before := s.State(now)
	s.leaving = leaving
	p.note(now, s, "platform list", before.String(), s.State(now).String())
}

// Resize sets the slots of each server after a change of the configuration.
func (p *Pool) Resize(now time.Time, slots int) {
	if slots = max(slots, 1); slots == p.Settings.Slots {
		return
	}
	for _, s := range p.servers {
		if s.slots > 0 {
			continue
		}
		limit := min(s.limit, slots)
		if s.limit == p.Settings.Slots {
			limit = slots
		}
		p.setLimit(now, s, limit, "configuration")
	}
	p.Settings.Slots = slots
}

// Take counts a call in flight.
func (p *Pool) Take(s *Server) { s.inFlight++ }

// Drop ends a call in flight whose result is unknown.
func (p *Pool) Drop(s *Server) { s.inFlight-- }

// Finish ends a call in flight with its result.
func (p *Pool) Finish(now time.Time, s *Server, r Result) {
	p.Apply(now, s, r)
	s.inFlight--
}

// Apply takes in the result of a call that is in flight and keeps its slot.
func (p *Pool) Apply(now time.Time, s *Server, r Result) {
	s.report(now, r.Busy, s.inFlight)
	s.setPace(now, r.Pace)
	p.drain(now, s, r.Drain)
	if r.Failed && !r.Refused {
		p.hold(now, s, r.Latency)
	}
	p.judge(now, s, r)
}

// hold keeps the slot of a failed call occupied until a successful call would
// have ended, so a server that fails fast does not draw more calls than others.
func (p *Pool) hold(now time.Time, s *Server, latency time.Duration) {
	expected := time.Duration(s.expected(now, p.Median(now), p.Settings.HalfLife))
	if rest := expected - latency; rest > 0 {
		s.held = append(s.held, now.Add(rest))
	}
}

// Observe takes in the result of a probe.
func (p *Pool) Observe(now time.Time, s *Server, f Figure) {
	at := now.Add(-f.Age)
	s.report(at, f.Busy, s.inFlight)
	s.setPace(at, f.Pace)
	s.probed(now, f.Failed)
	if f.Drain || at.After(s.drainedAt) && !f.Failed {
		// Only a probe ends a drain: answers of earlier calls can arrive after the signal.
		p.drain(now, s, f.Drain)
		if !f.Drain && !s.drainedAt.IsZero() {
			s.drainedAt = time.Time{}
			p.note(now, s, "probe without drain signal", Draining.String(), s.State(now).String())
		}
	}
	// A probe measures the load endpoint and not a call: only its failure counts.
	if f.Failed && !s.ejected {
		p.judge(now, s, Result{Failed: true})
	}
}

func (p *Pool) drain(now time.Time, s *Server, drain bool) {
	if !drain || !s.drainedAt.IsZero() {
		return
	}
	before := s.State(now)
	s.drainedAt = now
	p.note(now, s, "drain signal", before.String(), Draining.String())
}

// judge updates latency, limit, failure window and ejection.
func (p *Pool) judge(now time.Time, s *Server, r Result) {
	s.observe(now, r)
	if r.Refused {
		if s.extra > 0 && s.reported.Equal(now) {
			return // Calls of other homes filled the server: its own limit is right.
		}
		if r.Busy >= 0 && r.Busy < p.most(s) {
			// It sheds calls although it has room: fewer at a time would not help.
			s.streak = 0
			return
		}
		s.streak, s.cold = 0, false
		p.setLimit(now, s, max(s.limit-1, 1), "documented refusal")
		return
	}
	s.count(now, p.Settings.Window, r.Failed)
	switch {
	case s.ejected:
		p.trial(now, s, r.Failed)
	case r.Failed:
		s.streak = 0
		p.consider(now, s)
	default:
		p.raise(now, s)
	}
}

func (p *Pool) raise(now time.Time, s *Server) {
	s.streak++
	if s.limit >= p.most(s) {
		s.cold = false
		return
	}
	need, cause := p.Settings.Run, "run of successes"
	if s.cold {
		need, cause = p.Settings.Ramp, "cold ramp"
	}
	if s.streak >= need {
		s.streak = 0
		p.setLimit(now, s, s.limit+1, cause)
	}
}

func (p *Pool) setLimit(now time.Time, s *Server, limit int, cause string) {
	if limit == s.limit {
		return
	}
	before := s.limit
	s.limit = limit
	p.note(now, s, cause, "limit "+strconv.Itoa(before), "limit "+strconv.Itoa(limit))
}

// consider ejects s when its failure ratio is too high and fewer than half of
// the pool is ejected. A server of a pool of one is never ejected.
func (p *Pool) consider(now time.Time, s *Server) {
	ratio, results := s.Ratio(now, p.Settings.Window)
	if results < minResults || ratio <= maxRatio {
		return
	}
	out := 1
	for _, o := range p.servers {
		if o.ejected {
			out++
		}
	}
	if 2*out > len(p.servers) {
		return
	}
	delay := p.Settings.Delay
	if !s.returned.IsZero() && now.Sub(s.returned) < p.Settings.Ceiling {
		delay = min(2*s.delay, p.Settings.Ceiling)
	}
	p.eject(now, s, delay, "failures "+strconv.FormatFloat(ratio, 'f', 2, 64))
}

func (p *Pool) eject(now time.Time, s *Server, delay time.Duration, cause string) {
	before := s.State(now)
	s.ejected, s.ejectedAt, s.delay = true, now, delay
	p.note(now, s, cause, before.String(), Ejected.String()+" for "+delay.String())
}

// trial ends an ejection by the result of a call, or extends it. Results of
// calls from before the delay has passed don't end it.
func (p *Pool) trial(now time.Time, s *Server, failed bool) {
	if now.Sub(s.ejectedAt) < s.delay {
		return
	}
	if failed {
		p.eject(now, s, min(2*s.delay, p.Settings.Ceiling), "trial call failed")
		return
	}
	s.ejected, s.returned, s.streak = false, now, 1
	s.recent, s.before = tally{}, tally{}
	p.note(now, s, "trial call succeeded", Trial.String(), s.State(now).String())
	s.cold = p.most(s) > 1
	p.setLimit(now, s, 1, "cold ramp")
}

// Reset drops figures that are stale after a pause of the process: latencies,
// failures and load reports. Ejected servers may be tried at once; a drain stays.
func (p *Pool) Reset(now time.Time) {
	for _, s := range p.servers {
		s.latency, s.recent, s.before, s.held = 0, tally{}, tally{}, nil
		s.extra, s.busy = 0, -1
		s.pace, s.paceAt, s.sampled = 0, time.Time{}, time.Time{}
		if s.ejected {
			s.ejectedAt = now.Add(-s.delay)
		}
	}
	p.medianAt = time.Time{}
}

// Median returns the median latency of the servers in nanoseconds.
func (p *Pool) Median(now time.Time) float64 {
	if !p.medianAt.IsZero() && now.Sub(p.medianAt) < medianAge {
		return p.median
	}
	known := make([]float64, 0, len(p.servers))
	for _, s := range p.servers {
		if s.latency > 0 {
			known = append(known, s.latency)
		}
	}
	if len(known) == 0 {
		return float64(defaultLatency)
	}
	slices.Sort(known)
	p.median, p.medianAt, p.worst = known[(len(known)-1)/2], now, 0
	for _, s := range p.servers {
		p.worst = max(p.worst, s.expected(now, p.median, p.Settings.HalfLife))
	}
	return p.median
}

// Worst returns the highest expected latency of a server in nanoseconds, as of the last median.
func (p *Pool) Worst(now time.Time) float64 { return max(p.Median(now), p.worst) }

// Expected returns the expected latency of s.
func (p *Pool) Expected(now time.Time, s *Server) time.Duration {
	return time.Duration(s.expected(now, p.Median(now), p.Settings.HalfLife))
}

// Foreign returns the estimated calls in flight at s that other homes granted.
func (p *Pool) Foreign(now time.Time, s *Server) float64 { return s.foreign(now) }

// Failures returns the failure ratio of s, weighted down below the minimum number of results.
func (p *Pool) Failures(now time.Time, s *Server) float64 {
	ratio, results := s.Ratio(now, p.Settings.Window)
	return ratio * min(results/minResults, 1)
}

// Report returns the last load report of s, -1 when there is none, and its age.
func (p *Pool) Report(now time.Time, s *Server) (busy int, age time.Duration) {
	return s.busy, now.Sub(s.reported)
}

func (p *Pool) note(now time.Time, s *Server, cause, before, after string) {
	p.Audit.Note(auditor.Change{
		Time: now, Part: "route", Subject: cmp.Or(s.Name, s.Address.String()),
		Cause: cause, Before: before, After: after,
	})
}
