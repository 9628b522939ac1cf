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

	start time.Time // Since when reads followed each other without a gap.
	steps []step    // Changes of Names after start, oldest first.
}

// step is one change of the names.
type step struct {
	time           time.Time
	added, removed []string
}

const (
	// maxGap is the longest time between reads that counts as continuous. The
	// list could have changed and changed back in a longer gap. It is F of the
	// rule for calls with an identity.
	maxGap = 10 * time.Second
	// keepSteps exceeds the memory window of identities and its margin
	// (10 min + 30 s).
	keepSteps = 15 * time.Minute
	maxSteps  = 512
)

// Place returns the first name in rendezvous order for key, and since when it
// has been the first in all accepted reads without a gap. The name is empty
// when no list was accepted or it names nobody. The times are those of the
// reads, so the answer is at most one read later than the list itself.
func (r Roster) Place(key string) (name string, since time.Time) {
	name = placer.First(key, r.Names)
	if name == "" {
		return "", r.Read
	}
	for _, s := range slices.Backward(r.steps) {
		// Before the step the names were Names without added and with removed;
		// later steps changed nothing about the first name.
		if slices.Contains(s.added, name) || placer.First(key, append([]string{name}, s.removed...)) != name {
			return name, s.time
		}
	}
	return name, r.start
}

// next returns the Roster after a read at now that gave names, sorted.
func (r Roster) next(now time.Time, names []string) Roster {
	if r.Read.IsZero() || now.Sub(r.Read) > maxGap || now.Before(r.Read) {
		return Roster{Names: names, Read: now, start: now}
	}
	out := Roster{Names: names, Read: now, start: r.start, steps: r.steps}
	if !slices.Equal(names, r.Names) {
		s := step{time: now, added: without(names, r.Names), removed: without(r.Names, names)}
		out.steps = append(slices.Clip(r.steps), s)
	}
	for len(out.steps) > 0 && (len(out.steps) > maxSteps || now.Sub(out.steps[0].time) > keepSteps) {
		out.start = out.steps[0].time
		out.steps = out.steps[1:]
	}
	return out
}

// without returns the names of a that are not in b; both are sorted.
func without(a, b []string) []string {
	var out []string
	for _, n := range a {
		if _, ok := slices.BinarySearch(b, n); !ok {
			out = append(out, n)
		}
	}
	return out
}
