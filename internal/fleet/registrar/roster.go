package registrar

import (
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/placer"
)

// Roster is the believed list at one time: what the reads of the platform's
// list said. It is immutable.
type Roster struct {
	Names []string  // Listed entry instances that are not leaving, sorted.
	Read  time.Time // Last accepted read; zero when there was none.

	continuousSince time.Time    // Since when reads followed each other without a gap.
	changes         []listChange // Changes of Names after start, oldest first.
}

// listChange is one change of the names.
type listChange struct {
	time           time.Time
	added, removed []string
}

const (
	// maxReadGap is the longest time between reads that counts as continuous. The
	// list could have changed and changed back in a longer gap. It is F of the
	// rule for calls with an identity.
	maxReadGap = 10 * time.Second
	// changeRetention exceeds the memory window of identities and its margin
	// (10 min + 30 s).
	changeRetention = 15 * time.Minute
	maxChanges      = 512
)

// Place returns the first name in rendezvous order for key, and since when it
// has been the first in all accepted reads without a gap. The name is empty
// when no list was accepted or it names nobody. The times are those of the
// reads, so the answer is at most one read later than the list itself.
func (h Roster) Place(key string) (name string, since time.Time) {
	name = placer.First(key, h.Names)
	if name == "" {
		return "", h.Read
	}
	for _, change := range slices.Backward(h.changes) {
		// Before the step the names were Names without added and with removed;
		// later steps changed nothing about the first name.
		if slices.Contains(change.added, name) || placer.First(key, append([]string{name}, change.removed...)) != name {
			return name, change.time
		}
	}
	return name, h.continuousSince
}

// afterRead returns the Roster after a read at now that gave names, sorted.
func (h Roster) afterRead(now time.Time, names []string) Roster {
	if h.Read.IsZero() || now.Sub(h.Read) > maxReadGap || now.Before(h.Read) {
		return Roster{Names: names, Read: now, continuousSince: now}
	}
	out := Roster{Names: names, Read: now, continuousSince: h.continuousSince, changes: h.changes}
	if !slices.Equal(names, h.Names) {
		change := listChange{time: now, added: difference(names, h.Names), removed: difference(h.Names, names)}
		out.changes = append(slices.Clip(h.changes), change)
	}
	for len(out.changes) > 0 && (len(out.changes) > maxChanges || now.Sub(out.changes[0].time) > changeRetention) {
		out.continuousSince = out.changes[0].time
		out.changes = out.changes[1:]
	}
	return out
}

// difference returns the names of a that are not in b; both are sorted.
func difference(a, b []string) []string {
	var out []string
	for _, n := range a {
		if _, ok := slices.BinarySearch(b, n); !ok {
			out = append(out, n)
		}
	}
	return out
}
