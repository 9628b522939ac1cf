package router

import "time"

// ColdStart is what the platform's list says of the cold start of a backend server.
type ColdStart struct {
	Since time.Time // Time at which this instance learned it.
	Until time.Time // Latest end of the cold start; not after Since for a warm server.

	remaining time.Duration // As of when the entry was written.
	started   time.Time     // Start of the process where remaining is not known; otherwise zero.
	sequence  uint64
}

// clockMargin is added to the end of a cold start that is computed from the start of a
// process, which comes from another clock.
const clockMargin = time.Second

// ColdSchedule dates the statements of the platform's list about cold starts. A
// statement gives the remaining time as of when it was written. Its age is unknown, so
// the time is counted from when the statement was first known here. The zero value is
// ready to use; it is not safe for concurrent use.
type ColdSchedule struct {
	known map[coldKey]ColdStart // Of the servers in the last table that were not warm by their statement.
}

// coldKey identifies the process of a backend server.
type coldKey struct {
	service, name string
	processStart  uint64
}

// Mark sets Cold of the backend servers in t. It must be called before t is in use.
func (c *ColdSchedule) Mark(now time.Time, t *RoutingTable) {
	known := make(map[coldKey]ColdStart)
	for name, service := range t.Services {
		if service.Cold.Rate <= 0 {
			continue
		}
		for i := range service.Servers {
			b := &service.Servers[i]
			if b.Cold.remaining <= 0 && b.Cold.started.IsZero() {
				// Most servers are warm, and the table is rebuilt with each change of the list. A
				// later date of such a statement changes nothing.
				b.Cold.date(now, 0)
				continue
			}
			k := coldKey{name, b.Name, b.ProcessStart}
			if old, ok := c.known[k]; ok && old.isSameStatement(&b.Cold) {
				b.Cold = old
			} else {
				b.Cold.date(now, service.Cold.Time.AsDuration())
			}
			known[k] = b.Cold
		}
	}
	c.known = known
}

// isSameStatement reports whether s and o carry the same statement.
func (s *ColdStart) isSameStatement(o *ColdStart) bool {
	return s.remaining == o.remaining && s.sequence == o.sequence && s.started.Equal(o.started)
}

// date sets Since and Until of a statement that became known at time now; full is the
// duration of a cold start.
func (s *ColdStart) date(now time.Time, full time.Duration) {
	remaining := s.remaining
	if !s.started.IsZero() {
		remaining = min(max(s.started.Add(full+clockMargin).Sub(now), 0), full)
	}
	s.Since, s.Until = now, now.Add(remaining)
}
