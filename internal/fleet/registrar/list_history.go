package registrar

import (
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/hasher"
)

// ListHistory holds the names of the accepted list of the platform at one read, and
// how they changed in earlier reads. It is immutable. A read counts as accepted
// when the reader.RemovalGuard of this instance took over its entry instances as
// sent: the list was not outdated and no missing instances were kept.
type ListHistory struct {
	Names    []string  // Listed entry instances that are not leaving, sorted.
	LastRead time.Time // Time of the last accepted read; zero if there was none.

	continuousSince time.Time    // Start of the reads without a gap above maxReadGap, or of the retained changes if later.
	changes         []listChange // Changes of Names after continuousSince, oldest first.
}

// listChange is the difference between the names of two consecutive reads.
type listChange struct {
	time           time.Time
	added, removed []string
}

const (
	// maxReadGap is the maximum time between two reads that count as continuous.
	// In a longer gap the list could have changed and changed back unnoticed. It
	// equals the default maximum age of the list with which a call that carries
	// an idempotency key is run.
	maxReadGap = 10 * time.Second
	// changeRetention exceeds the time for which idempotency keys of calls are
	// kept (a window of 10 min and a margin of 30 s).
	changeRetention = 15 * time.Minute
	maxChanges      = 512
)

// Place returns the name with the highest rendezvous weight for key, the place
// of key, and the time since which every accepted read gave this place without a
// gap above maxReadGap. The name is empty if no list was accepted or the list is
// empty. The returned time is that of a read, so it is later than the change of
// the list by at most one interval between reads.
func (h ListHistory) Place(key string) (name string, since time.Time) {
	name = hasher.TopName(key, h.Names)
	if name == "" {
		return "", h.LastRead
	}
	for _, change := range slices.Backward(h.changes) {
		// Later changes did not affect the place. This one did if it added the
		// name or removed a name that ranks before it.
		if slices.Contains(change.added, name) || hasher.TopName(key, append([]string{name}, change.removed...)) != name {
			return name, change.time
		}
	}
	return name, h.continuousSince
}

// afterRead returns the ListHistory after a read at now that gave the sorted names.
// A gap above maxReadGap, or a clock that went back, starts a new history.
func (h ListHistory) afterRead(now time.Time, names []string) ListHistory {
	if h.LastRead.IsZero() || now.Sub(h.LastRead) > maxReadGap || now.Before(h.LastRead) {
		return ListHistory{Names: names, LastRead: now, continuousSince: now}
	}
	out := ListHistory{Names: names, LastRead: now, continuousSince: h.continuousSince, changes: h.changes}
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

// difference returns the names of a that are not in b. Both must be sorted.
func difference(a, b []string) []string {
	var out []string
	for _, n := range a {
		if _, ok := slices.BinarySearch(b, n); !ok {
			out = append(out, n)
		}
	}
	return out
}
