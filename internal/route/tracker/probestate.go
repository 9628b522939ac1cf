package tracker

import "time"

const (
	// minProbeBackoff and maxProbeBackoff bound the time for which a server gets no
	// calls after a failed probe; it doubles with each consecutive failure.
	minProbeBackoff = 200 * time.Millisecond
	maxProbeBackoff = 2 * time.Second
)

// Slowdown returns the slowdown of the last report and the age of that report.
// The slowdown is the time that work takes on the server divided by its usual
// time. ok is false when there is no report.
func (s *Server) Slowdown(now time.Time) (slowdown float64, age time.Duration, ok bool) {
	return s.slowdown, now.Sub(s.slowdownAt), s.slowdown > 0
}

// MarkProbeSent records that a probe of the server was sent at time now.
func (s *Server) MarkProbeSent(now time.Time) { s.probeSentAt = now }

// PendingProbeAge returns the time since the probe whose result is still unknown
// was sent, or 0 when no probe is pending. A probe sent at now has age 1 ns.
func (s *Server) PendingProbeAge(now time.Time) time.Duration {
	if s.probeSentAt.IsZero() {
		return 0
	}
	return max(now.Sub(s.probeSentAt), 1)
}

// InProbeBackoff reports whether the server gets no calls because its last probe failed.
func (s *Server) InProbeBackoff(now time.Time) bool { return now.Before(s.backoffUntil) }

// IsOther reports whether name, which may be empty for an unknown one, is that of another
// server.
func (s *Server) IsOther(name string) bool { return name != "" && name != s.Name }

// IsDisplaced reports whether another server answered the last probe, so that this one is
// not at its address.
func (s *Server) IsDisplaced() bool { return s.displaced }

// recordDisplaced records that the server called name answered a probe of s. What it
// reports says nothing of s.
func (p *Pool) recordDisplaced(now time.Time, s *Server, name string) {
	if !s.displaced {
		p.note(now, s, "another server answered a probe", "at its address", "displaced by "+name)
	}
	s.displaced = true
	s.recordProbe(now, true)
}

// updateSlowdown stores a reported slowdown unless an equally recent or later
// report is known. A slowdown of 0 means that none was reported.
func (s *Server) updateSlowdown(reportedAt time.Time, slowdown float64) {
	if slowdown > 0 && reportedAt.After(s.slowdownAt) {
		s.slowdown, s.slowdownAt = slowdown, reportedAt
	}
}

// recordProbe ends the pending probe and starts or clears the backoff.
func (s *Server) recordProbe(now time.Time, failed bool) {
	s.probeSentAt = time.Time{}
	if !failed {
		s.backoffUntil, s.backoff = time.Time{}, 0
		return
	}
	s.backoff = min(max(minProbeBackoff, 2*s.backoff), maxProbeBackoff)
	s.backoffUntil = now.Add(s.backoff)
}

// Slots returns the number of slots that the platform's list states for the
// server, or 0 when the list states none and the pool's default applies.
func (s *Server) Slots() int { return s.slots }

// maxLimit returns the number of slots of s, up to which its limit may rise.
func (p *Pool) maxLimit(s *Server) int {
	if s.slots > 0 {
		return s.slots
	}
	return p.Settings.Slots
}

// SetServerSlots sets the slots of one server, which override the default of the
// pool. A limit at its maximum becomes the new number, unless the server is cold; a
// limit above the new number is lowered to it. Values below 1 are ignored.
func (p *Pool) SetServerSlots(now time.Time, s *Server, slots int) {
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
