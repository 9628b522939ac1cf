package reader

import (
	"slices"
	"time"
)

// RemovalGuard protects against lists that lack entries by mistake. Entries are
// grouped into the instances and the backend servers of each service. A list that
// lacks more than half of a group of the previous list is probably wrong, so the
// missing entries are kept for a hold time, unless IsSilent holds for all of them.
// A RemovalGuard does no I/O and reads no clock; it is not safe for concurrent use.
type RemovalGuard struct {
	HoldTime time.Duration    // Time for which missing entries are kept; 0 means 60s.
	IsSilent func(Entry) bool // Reports whether an entry also fails other checks, such as heartbeats; nil means that no entry does.

	accepted      *List
	outdatedSince time.Time            // Time since which lists are older than the accepted one; zero while they are not.
	heldSince     map[string]time.Time // Time since which the missing entries of a group are kept, by service.
}

const defaultHoldTime = 60 * time.Second

// entryKey identifies an entry. Names are unique only within a service.
type entryKey struct{ service, name string }

// ApplyList checks the list l, which was read at time now, and returns the accepted
// list. Added entries and leaving flags take effect at once. The result held has
// the services whose missing entries are kept, with "" for the instances; outdated
// reports that l was ignored because it is older than the accepted list.
func (g *RemovalGuard) ApplyList(now time.Time, l *List) (accepted *List, held []string, outdated bool) {
	holdTime := g.HoldTime
	if holdTime == 0 {
		holdTime = defaultHoldTime
	}
	if g.accepted == nil {
		g.accepted = l
		return l, nil, false
	}
	// An older list comes from a lagging replica of the platform. It is accepted
	// after the hold time, because the platform's clock may have been set back.
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

// restoreLostEntries appends the missing entries that are kept to l and returns
// their services.
func (g *RemovalGuard) restoreLostEntries(now time.Time, holdTime time.Duration, l *List) (held []string) {
	present := make(map[entryKey]bool, len(l.Entries))
	for i := range l.Entries {
		present[keyOf(&l.Entries[i])] = true
	}
	previousCount := make(map[string]int)
	lost := make(map[string][]Entry)
	for i := range g.accepted.Entries {
		e := &g.accepted.Entries[i]
		// The removal of an entry that was leaving is expected, so it is never kept.
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

// allSilent reports whether IsSilent holds for all entries.
func (g *RemovalGuard) allSilent(entries []Entry) bool {
	for _, e := range entries {
		if g.IsSilent == nil || !g.IsSilent(e) {
			return false
		}
	}
	return true
}

func keyOf(e *Entry) entryKey { return entryKey{e.Service, e.Name} }
