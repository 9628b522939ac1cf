package tracker

import "time"

const (
	// minProbeBackoff and mostPause bound the time for which a server whose probe
	// failed gets no work; it doubles with each failure in a row.
	minProbeBackoff = 200 * time.Millisecond
	maxProbeBackoff = 2 * time.Second
)

// Pace returns the time that work takes on the server relative to its usual
// time, by the last report, and the age of the report; ok is false without one.
func (s *Server) Pace(now time.Time) (pace float64, age time.Duration, ok bool) {
	return s.pace, now.Sub(s.paceAt), s.pace > 0
}

// Sampled notes that a probe of the server was sent.
func (s *Server) Sampled(now time.Time) { s.probeSentAt = now }

// Sampling returns the time since a probe was sent whose result is not known,
// 0 when there is none.
func (s *Server) Sampling(now time.Time) time.Duration {
	if s.probeSentAt.IsZero() {
		return 0
	}
	return max(now.Sub(s.probeSentAt), 1)
}

// Paused reports whether the server gets no work because its last probe failed.
func (s *Server) Paused(now time.Time) bool { return now.Before(s.backoffUntil) }

// updatePace takes in a report that was made at time at.
func (s *Server) updatePace(reportedAt time.Time, pace float64) {
	if pace > 0 && reportedAt.After(s.paceAt) {
		s.pace, s.paceAt = pace, reportedAt
	}
}

// recordProbe takes in the result of a probe.
func (s *Server) recordProbe(now time.Time, failed bool) {
	s.probeSentAt = time.Time{}
	if !failed {
		s.backoffUntil, s.backoff = time.Time{}, 0
		return
	}
	s.backoff = min(max(minProbeBackoff, 2*s.backoff), maxProbeBackoff)
	s.backoffUntil = now.Add(s.backoff)
}

// Slots returns the calls that the server runs at a time by its own statement,
// 0 when it makes none.
func (s *Server) Slots() int { return s.slots }

// maxLimit returns the highest limit of s.
func (p *Pool) maxLimit(s *Server) int {
	if s.slots > 0 {
		return s.slots
	}
	return p.Settings.Slots
}

// Size sets the slots that a server states, which take the place of the pool's.
func (p *Pool) Size(now time.Time, s *Server, slots int) {
	if slots <= 0 || slots == s.slots {
		return
	}
	atMaxLimit := s.limit == p.maxLimit(s)
	s.slots = slots
	switch {
	case atMaxLimit && !s.cold, s.limit > slots:
		p.setLimit(now, s, slots, "slots of the server")
	}
}
