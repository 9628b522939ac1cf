package registrar

import (
	"slices"
	"time"
)

// Verdict says what a Guard does with a list.
type Verdict uint8

// The verdicts of a Guard.
const (
	Accept  Verdict = iota
	Hold            // The list in use stays in use.
	HoldNew         // Hold, for the first list after an accepted one.
)

// Guard delays lists of one kind of entries (entry instances, or the backend
// servers of one service) that are suddenly short. The zero Guard has accepted
// no list.
type Guard struct {
	Delay time.Duration // Time for which a short list must persist; 0 means 60s.

	names []string
	since time.Time
}

// Judge decides about a list of names read at now. A list that lost more than
// half of the names in use is held until short lists were read for Delay,
// unless all removed names are silent.
func (g *Guard) Judge(now time.Time, names []string, silent func(name string) bool) Verdict {
	removed, loud := 0, 0
	for _, n := range g.names {
		if !slices.Contains(names, n) {
			removed++
			if !silent(n) {
				loud++
			}
		}
	}
	if 2*removed > len(g.names) && loud > 0 {
		if g.since.IsZero() {
			g.since = now
			return HoldNew
		}
		if now.Sub(g.since) < g.delay() {
			return Hold
		}
	}
	g.names, g.since = slices.Clone(names), time.Time{}
	return Accept
}

func (g *Guard) delay() time.Duration {
	if g.Delay == 0 {
		return time.Minute
	}
	return g.Delay
}
