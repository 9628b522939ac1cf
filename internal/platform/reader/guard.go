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

	believed *List
	older    time.Time            // Since when answers are older than the believed list.
	short    map[string]time.Time // Since when a kind is held, by service.
}

const defaultHold = 60 * time.Second

type identity struct{ service, name string }

// Apply takes the list l read at time now and returns the believed list.
// Additions and leaving flags take effect at once. Held has the services
// whose lost entries stay; "" stands for the entry instances. Old reports
// that l was ignored because it is older than the believed list.
func (g *Guard) Apply(now time.Time, l *List) (believed *List, held []string, old bool) {
	hold := g.Hold
	if hold == 0 {
		hold = defaultHold
	}
	if g.believed == nil {
		g.believed = l
		return l, nil, false
	}
	// An older list comes from a lagging replica of the platform. It is taken
	// after the hold, because the platform's clock may have been set back.
	if l.Time.Before(g.believed.Time) {
		if g.older.IsZero() {
			g.older = now
		}
		if now.Sub(g.older) < hold {
			return g.believed, nil, true
		}
	}
	g.older = time.Time{}
	out := &List{Time: l.Time, Entries: slices.Clone(l.Entries)}
	held = g.restore(now, hold, out)
	g.believed = out
	return out, held, false
}

// restore appends the entries that are held to l and returns their services.
func (g *Guard) restore(now time.Time, hold time.Duration, l *List) (held []string) {
	present := make(map[identity]bool, len(l.Entries))
	for i := range l.Entries {
		present[id(&l.Entries[i])] = true
	}
	before := make(map[string]int)
	lost := make(map[string][]Entry)
	for i := range g.believed.Entries {
		e := &g.believed.Entries[i]
		// The removal of an entry that was leaving is expected and never held.
		if e.Leaving {
			continue
		}
		before[e.Service]++
		if !present[id(e)] {
			lost[e.Service] = append(lost[e.Service], *e)
		}
	}
	short := make(map[string]time.Time)
	for service, entries := range lost {
		if 2*len(entries) <= before[service] || g.silent(entries) {
			continue
		}
		since, ok := g.short[service]
		if !ok {
			since = now
		}
		if now.Sub(since) >= hold {
			continue
		}
		short[service] = since
		l.Entries = append(l.Entries, entries...)
		held = append(held, service)
	}
	g.short = short
	slices.Sort(held)
	return held
}

func (g *Guard) silent(entries []Entry) bool {
	for _, e := range entries {
		if g.Silent == nil || !g.Silent(e) {
			return false
		}
	}
	return true
}

func id(e *Entry) identity { return identity{e.Service, e.Name} }
