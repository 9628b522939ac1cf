package reader

import (
	"slices"
	"time"
)

// Guard decides which list is believed: one that lost more than half of a
// kind at once (the entry instances, or the backend servers of one service)
// is probably wrong, so the lost entries stay for a while. It does no I/O and
// reads no clock; it is not safe for concurrent use.
type Guard struct {
	Hold   time.Duration    // Time for which lost entries stay; 0 means 60s.
	Silent func(Entry) bool // Silent reports that an entry is not heard either; nil means that every entry is heard.

	accepted      *List
	outdatedSince time.Time            // Since when answers are older than the believed list.
	heldSince     map[string]time.Time // Since when a kind is held, by service.
}

const defaultHoldTime = 60 * time.Second

type entryKey struct{ service, name string }

// Apply takes the list l read at time now and returns the believed list.
// Additions and leaving flags take effect at once. Held has the services
// whose lost entries stay; "" stands for the entry instances. Old reports
// that l was ignored because it is older than the believed list.
func (g *Guard) Apply(now time.Time, l *List) (accepted *List, held []string, outdated bool) {
	holdTime := g.Hold
	if holdTime == 0 {
		holdTime = defaultHoldTime
	}
	if g.accepted == nil {
		g.accepted = l
		return l, nil, false
	}
	// An older list comes from a lagging replica of the platform. It is taken
	// after the hold, because the platform's clock may have been set back.
	if l.Time.Before(g.accepted.Time) {
		if g.outdatedSince.IsZero() {
			g.outdatedSince = now
		}
		if now.Sub(g.outdatedSince) < holdTime {
			return g.accepted, nil, true
		}
	}
	g.outdatedSince = time.Time{}
	next := &List{Time: l.Time, Entries: slices.Clone(l.Entries)}
	held = g.restoreLostEntries(now, holdTime, next)
	g.accepted = next
	return next, held, false
}

// restoreLostEntries appends the entries that are held to l and returns their services.
func (g *Guard) restoreLostEntries(now time.Time, holdTime time.Duration, l *List) (held []string) {
	present := make(map[entryKey]bool, len(l.Entries))
	for i := range l.Entries {
		present[keyOf(&l.Entries[i])] = true
	}
	previousCount := make(map[string]int)
	lost := make(map[string][]Entry)
	for i := range g.accepted.Entries {
		e := &g.accepted.Entries[i]
		// The removal of an entry that was leaving is expected and never held.
		if e.Leaving {
			continue
		}
		previousCount[e.Service]++
		if !present[keyOf(e)] {
			lost[e.Service] = append(lost[e.Service], *e)
		}
	}
	heldSince := make(map[string]time.Time)
	for service, entries := range lost {
		if 2*len(entries) <= previousCount[service] || g.allSilent(entries) {
			continue
		}
		since, ok := g.heldSince[service]
		if !ok {
			since = now
		}
		if now.Sub(since) >= holdTime {
			continue
		}
		heldSince[service] = since
		l.Entries = append(l.Entries, entries...)
		held = append(held, service)
	}
	g.heldSince = heldSince
	slices.Sort(held)
	return held
}

func (g *Guard) allSilent(entries []Entry) bool {
	for _, e := range entries {
		if g.Silent == nil || !g.Silent(e) {
			return false
		}
	}
	return true
}

func keyOf(e *Entry) entryKey { return entryKey{e.Service, e.Name} }
