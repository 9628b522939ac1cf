package tracker

import "time"

// coldStart holds what is known of the cold start of a server: the latest statement of
// the platform's list and that of its probes.
type coldStart struct {
	listedAt, listedUntil     time.Time
	reportedAt, reportedUntil time.Time // reportedAt is the time at which the probe was sent.
}

// report records that the response to a probe, sent at sentAt and received at now,
// states that the server is cold for the remaining time.
func (c *coldStart) report(now, sentAt time.Time, remaining time.Duration) {
	if sentAt.Before(c.reportedAt) {
		return
	}
	c.reportedAt, c.reportedUntil = sentAt, now.Add(remaining)
}

// SetListedCold records what the platform's list says of a cold start of s: it ends at
// until by a statement that became known at since.
func (s *Server) SetListedCold(since, until time.Time) {
	s.coldStart.listedAt, s.coldStart.listedUntil = since, until
}

// ColdUntil returns the end of the cold start of the server, which may be past. A probe
// that was sent after a statement of the list became known replaces it. A statement that
// became known later may have been written before, so it cannot shorten what a probe said.
func (s *Server) ColdUntil() time.Time {
	c := &s.coldStart
	if c.reportedAt.After(c.listedAt) || c.reportedUntil.After(c.listedUntil) {
		return c.reportedUntil
	}
	return c.listedUntil
}

// IsCold reports whether the server is within a cold start.
func (s *Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil()) }
