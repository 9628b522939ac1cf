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
// Settings and Audit are set before the first server is added.
type Pool struct {
	Settings Settings
	Audit    *auditor.Trail // Receives the changes of state and limit; may be nil.

	servers     []*Server
	byAddress   map[netip.AddrPort]*Server
	median      float64 // Median of the known latencies in nanoseconds, computed at medianAt.
	maxExpected float64 // Highest expected latency in nanoseconds when the median was computed.
	medianAt    time.Time
}

// Servers returns the servers in order of address. The caller must not modify the slice.
func (p *Pool) Servers() []*Server { return p.servers }

// FindServer returns the server at addr, or nil if there is none.
func (p *Pool) FindServer(addr netip.AddrPort) *Server { return p.byAddress[addr] }

// AddServer returns the server at addr and adds it if it is not in the pool. A new
// server starts with a limit of 1 if cold is set, and of all its slots otherwise.
func (p *Pool) AddServer(now time.Time, name string, addr netip.AddrPort, cold bool) *Server {
	if p.byAddress == nil {
		p.Settings = p.Settings.withDefaults()
		p.byAddress = make(map[netip.AddrPort]*Server)
	}
	if s := p.byAddress[addr]; s != nil {
		return s
	}
	s := &Server{Name: name, Address: addr, limit: p.Settings.Slots, recentSince: now, reportedCalls: -1}
	if cold {
		s.limit, s.cold = 1, p.Settings.Slots > 1
	}
	p.byAddress[addr] = s
	position, _ := slices.BinarySearchFunc(p.servers, addr, func(s *Server, a netip.AddrPort) int { return s.Address.Compare(a) })
	p.servers = slices.Insert(p.servers, position, s)
	return s
}

// RemoveServer removes s and its measurements from the pool.
func (p *Pool) RemoveServer(s *Server) {
	delete(p.byAddress, s.Address)
	p.servers = slices.DeleteFunc(p.servers, func(o *Server) bool { return o == s })
}

// SetLeaving records whether the platform's list shows the server as leaving.
func (p *Pool) SetLeaving(now time.Time, s *Server, leaving bool) {
	if s.leaving == leaving {
		return
	}
	before := s.State(now)
	s.leaving = leaving
	p.note(now, s, "platform list", before.String(), s.State(now).String())
}

// SetEvacuated records whether the availability zone of the server is evacuated.
func (p *Pool) SetEvacuated(s *Server, evacuated bool) { s.evacuated = evacuated }

// SetDefaultSlots changes the slots of the servers that have no number of their
// own. A limit equal to the old number becomes the new number; a limit above the
// new number is lowered to it.
func (p *Pool) SetDefaultSlots(now time.Time, slots int) {
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

// StartCall adds a call in flight.
func (p *Pool) StartCall(s *Server) { s.inFlight++ }

// AbandonCall ends a call in flight whose result is unknown.
func (p *Pool) AbandonCall(s *Server) { s.inFlight-- }

// FinishCall ends a call in flight and records its result.
func (p *Pool) FinishCall(now time.Time, s *Server, r Result) {
	p.RecordResult(now, s, r)
	s.inFlight--
}

// RecordResult records the result of a call whose slot remains in use.
func (p *Pool) RecordResult(now time.Time, s *Server, r Result) {
	s.updateLoad(now, r.ReportedCalls, s.inFlight)
	s.updateSlowdown(now, r.Slowdown)
	p.startDrain(now, s, r.Drain)
	if !r.Unanswered {
		s.recordAnswer(now)
	}
	if r.Failed && !r.Refused {
		p.holdSlot(now, s, r.Latency)
	}
	p.updateHealth(now, s, r)
}

// holdSlot keeps the slot of a failed call in use until a successful call would
// have ended, so a server that fails fast does not attract more calls than others.
func (p *Pool) holdSlot(now time.Time, s *Server, latency time.Duration) {
	expected := time.Duration(s.expectedLatency(now, p.MedianLatency(now), p.Settings.LatencyHalfLife))
	if remaining := expected - latency; remaining > 0 {
		s.heldUntil = append(s.heldUntil, now.Add(remaining))
	}
}

// RecordProbeResult records the result of a probe. Its load report dates from the
// time at which the probe was sent.
func (p *Pool) RecordProbeResult(now time.Time, s *Server, r ProbeResult) {
	if r.Unsent {
		s.probeSentAt = time.Time{}
		return
	}
	if s.IsOther(r.ServerName) {
		p.recordDisplaced(now, s, r.ServerName)
		return
	}
	s.displaced = s.displaced && r.Failed
	sentAt := now.Add(-r.Age)
	s.updateLoad(sentAt, r.ReportedCalls, s.inFlight)
	s.updateSlowdown(sentAt, r.Slowdown)
	if r.ColdStated {
		s.coldStart.report(now, sentAt, r.Cold)
	}
	s.recordProbe(now, r.Failed)
	if r.Drain || sentAt.After(s.drainedAt) && !r.Failed {
		// Only a probe ends a drain: responses to earlier calls can arrive after the drain signal.
		p.startDrain(now, s, r.Drain)
		if !r.Drain && !s.drainedAt.IsZero() {
			s.drainedAt = time.Time{}
			p.note(now, s, "probe without drain signal", Draining.String(), s.State(now).String())
		}
	}
	// The latency of a probe is that of the load endpoint and not of a call, so only a failure counts.
	if r.Failed && !s.ejected {
		p.updateHealth(now, s, Result{Failed: true})
	}
}

// startDrain marks s as draining if drain is set and it is not draining yet.
func (p *Pool) startDrain(now time.Time, s *Server, drain bool) {
	if !drain || !s.drainedAt.IsZero() {
		return
	}
	before := s.State(now)
	s.drainedAt = now
	p.note(now, s, "drain signal", before.String(), Draining.String())
}

// updateHealth updates the latency, the limit, the failure window and the ejection of s.
func (p *Pool) updateHealth(now time.Time, s *Server, r Result) {
	s.updateLatency(now, r)
	if r.Refused {
		hasFreeSlots := r.ReportedCalls >= 0 && r.ReportedCalls < p.maxLimit(s)
		if hasFreeSlots {
			s.countRefusal(now, p.Settings.FailureWindow)
		}
		if s.externalCalls > 0 && s.reportedAt.Equal(now) {
			return // Calls that other instances granted filled the server, so the limit of this pool stays.
		}
		if hasFreeSlots {
			// The server refuses calls although it has free slots, so a lower limit would not help.
			s.successStreak = 0
			return
		}
		s.successStreak, s.cold = 0, false
		p.setLimit(now, s, max(s.limit-1, 1), "documented refusal")
		return
	}
	if r.Unanswered && !r.Failed && (r.Silent || s.ejected) {
		return // A call that was cancelled without an answer is no success.
	}
	s.countResult(now, p.Settings.FailureWindow, r.Failed)
	switch {
	case s.ejected:
		p.recordTrial(now, s, r.Failed)
	case r.Failed:
		s.successStreak = 0
		p.ejectIfFailing(now, s)
	default:
		p.recordSuccess(now, s)
	}
}

// recordSuccess counts a success and raises the limit by 1 after enough successes in a row.
func (p *Pool) recordSuccess(now time.Time, s *Server) {
	s.successStreak++
	if s.limit >= p.maxLimit(s) {
		s.cold = false
		return
	}
	needed, cause := p.Settings.RecoverySuccesses, "run of successes"
	if s.cold {
		needed, cause = p.Settings.ColdSuccesses, "cold ramp"
	}
	if s.successStreak >= needed {
		s.successStreak = 0
		p.setLimit(now, s, s.limit+1, cause)
	}
}

// setLimit changes the limit of s and adds the change to the audit trail.
func (p *Pool) setLimit(now time.Time, s *Server, limit int, cause string) {
	if limit == s.limit {
		return
	}
	before := s.limit
	s.limit = limit
	p.note(now, s, cause, "limit "+strconv.Itoa(before), "limit "+strconv.Itoa(limit))
}

// ejectIfFailing ejects s when its failure ratio is too high.
func (p *Pool) ejectIfFailing(now time.Time, s *Server) {
	ratio, results := s.FailureRatio(now, p.Settings.FailureWindow)
	if results < minResults || ratio <= maxFailureRatio {
		return
	}
	p.tryEject(now, s, "failures "+strconv.FormatFloat(ratio, 'f', 2, 64))
}

// tryEject ejects s, unless more than half of the pool would then be ejected. The only
// server of a pool is never ejected. The trial delay doubles when the previous ejection
// ended less than MaxTrialDelay ago.
func (p *Pool) tryEject(now time.Time, s *Server, cause string) {
	ejected := 1
	for _, o := range p.servers {
		if o.ejected {
			ejected++
		}
	}
	if 2*ejected > len(p.servers) {
		return
	}
	delay := p.Settings.TrialDelay
	if !s.readmittedAt.IsZero() && now.Sub(s.readmittedAt) < p.Settings.MaxTrialDelay {
		delay = min(2*s.trialDelay, p.Settings.MaxTrialDelay)
	}
	p.ejectServer(now, s, delay, cause)
}

// ejectServer starts an ejection, or extends it after a failed trial call.
func (p *Pool) ejectServer(now time.Time, s *Server, delay time.Duration, cause string) {
	before := s.State(now)
	s.ejected, s.ejectedAt, s.trialDelay = true, now, delay
	p.note(now, s, cause, before.String(), Ejected.String()+" for "+delay.String())
}

// recordTrial ends the ejection of s after a successful call and extends it after
// a failed one. Results that arrive before the trial delay has passed are ignored.
func (p *Pool) recordTrial(now time.Time, s *Server, failed bool) {
	if now.Sub(s.ejectedAt) < s.trialDelay {
		return
	}
	if failed {
		p.ejectServer(now, s, min(2*s.trialDelay, p.Settings.MaxTrialDelay), "trial call failed")
		return
	}
	s.ejected, s.readmittedAt, s.successStreak = false, now, 1
	s.recent, s.previous = resultCounts{}, resultCounts{}
	p.note(now, s, "trial call succeeded", Trial.String(), s.State(now).String())
	s.cold = p.maxLimit(s) > 1
	p.setLimit(now, s, 1, "cold ramp")
}

// DiscardMeasurements drops what is out of date after the process was suspended:
// latencies, failures and load reports. Ejected servers may run their trial call
// at once. Drains and limits stay.
func (p *Pool) DiscardMeasurements(now time.Time) {
	for _, s := range p.servers {
		s.latency, s.recent, s.previous, s.heldUntil, s.silence = 0, resultCounts{}, resultCounts{}, nil, silence{}
		s.externalCalls, s.reportedCalls = 0, -1
		s.slowdown, s.slowdownAt, s.probeSentAt = 0, time.Time{}, time.Time{}
		if s.ejected {
			s.ejectedAt = now.Add(-s.trialDelay)
		}
	}
	p.medianAt = time.Time{}
}

// MedianLatency returns the median of the known latencies in nanoseconds, or
// defaultLatency when none is known. A computed median is cached for maxMedianAge.
func (p *Pool) MedianLatency(now time.Time) float64 {
	if !p.medianAt.IsZero() && now.Sub(p.medianAt) < maxMedianAge {
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
	p.median, p.medianAt, p.maxExpected = known[(len(known)-1)/2], now, 0
	for _, s := range p.servers {
		p.maxExpected = max(p.maxExpected, s.expectedLatency(now, p.median, p.Settings.LatencyHalfLife))
	}
	return p.median
}

// MaxExpectedLatency returns the highest expected latency of a server in
// nanoseconds. It is cached together with the median.
func (p *Pool) MaxExpectedLatency(now time.Time) float64 {
	return max(p.MedianLatency(now), p.maxExpected)
}

// ExpectedLatency returns the expected latency of s.
func (p *Pool) ExpectedLatency(now time.Time, s *Server) time.Duration {
	return time.Duration(s.expectedLatency(now, p.MedianLatency(now), p.Settings.LatencyHalfLife))
}

// ExternalInFlight returns the estimated number of calls in flight at s that
// other instances granted.
func (p *Pool) ExternalInFlight(now time.Time, s *Server) float64 { return s.externalInFlight(now) }

// WeightedFailureRatio returns the failure ratio of s, reduced in proportion when
// there are fewer than minResults results.
func (p *Pool) WeightedFailureRatio(now time.Time, s *Server) float64 {
	ratio, results := s.FailureRatio(now, p.Settings.FailureWindow)
	return ratio * min(results/minResults, 1)
}

// LastLoadReport returns the number of calls in the last load report of s, or -1
// if there is none, and its age.
func (p *Pool) LastLoadReport(now time.Time, s *Server) (reportedCalls int, age time.Duration) {
	return s.reportedCalls, now.Sub(s.reportedAt)
}

// note adds a change of s to the audit trail.
func (p *Pool) note(now time.Time, s *Server, cause, before, after string) {
	p.Audit.RecordChange(auditor.Change{
		Time: now, Component: "route", Subject: cmp.Or(s.Name, s.Address.String()),
		Cause: cause, Before: before, After: after,
	})
}
