package tracker

import "time"

const (
	// minRefusals is the number of refusals in the failure window from which a server
	// counts as refusing. A single one may come from a report that was out of date.
	minRefusals = 2
	// maxRefusalRatio is the share of refusals above which a server counts as refusing.
	// Every refusal takes a token of the retry budget, which allows about one retry for
	// five calls.
	maxRefusalRatio = 0.2
)

// countRefusal adds a refusal of a call that the server had a free slot for to the
// failure window.
func (s *Server) countRefusal(now time.Time, window time.Duration) {
	s.advanceWindow(now, window)
	s.recent.refusals++
}

// IsRefusing reports whether s refuses many calls although it reports free slots. Such a
// server answers fast and always looks idle, so it attracts calls.
func (p *Pool) IsRefusing(now time.Time, s *Server) bool {
	s.advanceWindow(now, p.Settings.FailureWindow)
	refusals := s.recent.refusals + s.previous.refusals
	return refusals >= minRefusals && refusals > maxRefusalRatio*(refusals+s.recent.results+s.previous.results)
}
