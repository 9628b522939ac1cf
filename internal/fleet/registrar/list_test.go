package registrar_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinelever.example/sardinelever/internal/fleet/hasher"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

// clockedRegistrar is a Registrar without a network whose clock the test controls.
type clockedRegistrar struct {
	*registrar.Registrar
	now time.Time
}

func newClockedRegistrar() *clockedRegistrar {
	c := &clockedRegistrar{now: epoch}
	c.Registrar = &registrar.Registrar{Name: "i0", Zone: "z0", Region: "home", Audit: &auditor.Trail{}}
	c.Clock = func() time.Time { return c.now }
	return c
}

// readList advances the clock by d and applies a new list of the numbered
// instances.
func (c *clockedRegistrar) readList(d time.Duration, numbers ...int) {
	c.now = c.now.Add(d)
	c.SetList(newList(c.now, numbers...), c.now)
}

// newList returns a list of the numbered instances, read at the given time.
func newList(at time.Time, numbers ...int) *reader.List {
	l := &reader.List{Time: at}
	for _, i := range numbers {
		m := newMember(i)
		l.Entries = append(l.Entries, reader.Entry{Name: m.Name, Zone: m.Zone, Region: m.Region, PeerAddr: m.PeerAddr})
	}
	return l
}

func (c *clockedRegistrar) acceptedNames() string { return fmt.Sprint(c.AcceptedList().Names) }

// TestHeldEntries guards against an empty first list or a list with held entries
// that counts as a new read, and against additions to a held list that are not
// used as members, or that change places before the next read.
func TestHeldEntries(t *testing.T) {
	c := newClockedRegistrar()
	c.readList(0)
	if !c.AcceptedList().LastRead.IsZero() {
		t.Error("an empty first list counts as read")
	}
	c.readList(time.Second, 0, 1, 2, 3, 4)
	read := c.now
	for range 3 {
		c.now = c.now.Add(time.Second)
		c.SetList(newList(c.now, 0, 1, 2, 3, 4, 5), read)
		if got, want := c.acceptedNames(), "[i0 i1 i2 i3 i4]"; got != want || !c.AcceptedList().LastRead.Equal(read) {
			t.Errorf("held list: got %s read at %v, want %s at %v", got, c.AcceptedList().LastRead, want, read)
		}
	}
	if got := len(c.UsableMembers("", "home")); got != 6 {
		t.Errorf("held list: got %d members, want 6", got)
	}
	c.readList(time.Second)
	if got := c.AcceptedList(); len(got.Names) != 0 || !got.LastRead.Equal(c.now) {
		t.Errorf("empty list: got %v read at %v, want none at %v", got.Names, got.LastRead, c.now)
	}
}

// TestUsableHomes guards against homes in another zone while the requested zone has
// usable ones, and against homes that are leaving or could not be reached.
func TestUsableHomes(t *testing.T) {
	c := newClockedRegistrar()
	c.readList(0, 0, 1, 2, 3, 4)
	names := func(zone string) (out []string) {
		for _, m := range c.UsableMembers(zone, "home") {
			out = append(out, m.Name)
		}
		return out
	}
	if got, want := names("z1"), []string{"i1", "i4"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	c.ReportFailure("i1")
	c.ReportFailure("i4")
	if got, want := names("z1"), []string{"i0", "i2", "i3"}; !slices.Equal(got, want) {
		t.Errorf("failed zone: got %v, want %v", got, want)
	}
	c.Leave()
	c.now = c.now.Add(2 * time.Second)
	if got, want := names("z0"), []string{"i3"}; !slices.Equal(got, want) {
		t.Errorf("leaving: got %v, want %v", got, want)
	}
}

// listRead is one read of the list.
type listRead struct {
	time  time.Time
	names []string
}

// expectedPlace computes the result of ListHistory.Place from all reads.
func expectedPlace(key string, reads []listRead) (string, time.Time) {
	last := reads[len(reads)-1]
	first, since := hasher.TopName(key, last.names), last.time
	for _, r := range slices.Backward(reads) {
		if since.Sub(r.time) > 10*time.Second || hasher.TopName(key, r.names) != first {
			break
		}
		since = r.time
	}
	return first, since
}

// TestPlaceHistory guards against a place that counts as continuous although
// another instance was the place in some read, or a gap between reads was too
// long. A call could then run twice.
func TestPlaceHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newClockedRegistrar()
		var reads []listRead
		for range rapid.IntRange(1, 30).Draw(rt, "reads") {
			d := rapid.SampledFrom([]int{1, 1, 1, 2, 9, 10, 11, 60}).Draw(rt, "pause")
			numbers := []int{0, 1, 2, 3, 4, 5, 6}
			for i := range 4 {
				if rapid.Bool().Draw(rt, "add") {
					numbers = append(numbers, 7+i)
				}
			}
			c.readList(time.Duration(d)*time.Second, numbers...)
			reads = append(reads, listRead{c.now, c.AcceptedList().Names})
		}
		for k := range 20 {
			key := fmt.Sprint("key", k)
			want, wantSince := expectedPlace(key, reads)
			got, since := c.AcceptedList().Place(key)
			if got != want || !since.Equal(wantSince) {
				rt.Fatalf("%s: got %s since %v, want %s since %v", key, got, since, want, wantSince)
			}
		}
	})
}
