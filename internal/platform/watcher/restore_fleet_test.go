package watcher_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// drillTrial is one case of TestDrills.
type drillTrial struct {
	*zonedFleet
	t       *testing.T
	random  *rand.Rand
	counter int
	alive   map[string]bool
	calm    map[string]bool // Instances that are never cut off.
	left    map[string]bool // Servers whose leaving all calm instances know.
	known   map[string]bool // Servers that all calm instances list.
	from    time.Time       // Time from which the lists are checked.
	errors  map[string]bool
}

// write writes the record of a server, whose state its writer counts.
func (d *drillTrial) write(key string, deleted bool) {
	d.counter++
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.store.revision++
	d.store.records[key] = watcher.Record{Key: key, Value: fmt.Appendf(nil, "%06d", d.counter), Revision: d.store.revision, Deleted: deleted}
	close(d.store.changed)
	d.store.changed = make(chan struct{})
}

func serverKey(i int) string { return "s/" + strings.Repeat("x", i+10) }

// watchLists checks the lists of the calm instances for a while.
func (d *drillTrial) watchLists(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, x := range d.nodes {
			if !d.calm[x.Name] {
				continue
			}
			names := make(map[string]bool)
			for _, e := range x.List().Entries {
				names["s/"+e.Name] = true
			}
			for key := range d.left {
				if names[key] {
					d.fail("got %s (length) listed at %s, which left", key, x.Name)
				}
			}
			for key := range d.known {
				if !names[key] && d.alive[key] {
					d.fail("got no %s (length) at %s, which lives", key, x.Name)
				}
			}
		}
	}
}

func (d *drillTrial) fail(format, key, name string) {
	text := fmt.Sprintf(format, fmt.Sprint(len(key)-2), name)
	if !d.errors[text] && len(d.errors) < 5 {
		d.errors[text] = true
		d.t.Errorf("%v after the restore: %s", time.Since(d.from), text)
	}
}

// settle writes again what the store lacks and lets expire what nobody writes.
func (d *drillTrial) settle() {
	records, _ := d.store.copyRecords()
	for i := 1; i < 40; i++ {
		key := serverKey(i)
		r, ok := records[key]
		stored := ok && !r.Deleted
		switch {
		case d.alive[key] && !stored:
			time.Sleep(time.Duration(d.random.IntN(40)) * time.Millisecond)
			d.write(key, false)
		case !d.alive[key] && stored:
			time.Sleep(time.Duration(d.random.IntN(40)) * time.Millisecond)
			d.write(key, true)
		}
	}
}

func (d *drillTrial) run(n, restores int, gap time.Duration, cut refusal) {
	time.Sleep(5 * time.Second)
	for i := 1; i <= 12; i++ {
		d.alive[serverKey(i)] = true
		d.write(serverKey(i), false)
	}
	time.Sleep(2 * time.Second)
	records, revision := d.store.copyRecords()
	for i := range 6 { // Some leave, some join in the window that is lost.
		left, joined := serverKey(2*i+1+d.random.IntN(2)), serverKey(13+i)
		d.alive[left], d.alive[joined] = false, true
		d.write(left, true)
		d.write(joined, false)
	}
	time.Sleep(3 * time.Second)
	for i := 1; i <= 18; i++ {
		d.left[serverKey(i)], d.known[serverKey(i)] = !d.alive[serverKey(i)], d.alive[serverKey(i)]
	}
	for key, is := range d.left {
		if !is {
			delete(d.left, key)
		} else {
			delete(d.known, key)
		}
	}
	for i, x := range d.nodes {
		d.calm[x.Name] = i%4 != 0
	}
	cutOff := func(i int) bool { return i%4 == 0 }
	d.from = time.Now()
	for range restores {
		d.storeFault(refused, func(int) bool { return true })
		d.watchLists(time.Duration(d.random.IntN(2000)) * time.Millisecond)
		d.store.restore(records, revision)
		d.storeFault(served, func(int) bool { return true })
		d.storeFault(cut, cutOff)
		for i, x := range d.nodes {
			x.silent.Store(cutOff(i) && cut == forgotten)
		}
		if d.random.IntN(2) == 0 {
			d.write("config", false)
		}
		d.watchLists(gap)
	}
	if d.random.IntN(2) == 0 {
		d.store.mu.Lock()
		d.store.compactedRevision = d.store.revision
		d.store.mu.Unlock()
	}
	d.settle()
	d.watchLists(3 * time.Second)
	d.storeFault(served, func(int) bool { return true })
	for _, x := range d.nodes {
		x.silent.Store(false)
	}
	time.Sleep(20 * time.Second)
	d.write("config", false)
	time.Sleep(3 * time.Second)
	var want []string
	for key, is := range d.alive {
		if is {
			want = append(want, strings.TrimPrefix(key, "s/"))
		}
	}
	want = append(want, "one")
	slices.Sort(want)
	for _, x := range d.nodes {
		got := serverNames(x.Watcher)
		if got != fmt.Sprint(want) {
			d.t.Errorf("got %v at %s (calm: %v) in the end, want %v", lengths(got), x.Name, d.calm[x.Name], lengths(fmt.Sprint(want)))
			break
		}
	}
}

func lengths(names string) (out []int) {
	for _, n := range strings.Fields(strings.Trim(names, "[]")) {
		out = append(out, len(n))
	}
	return out
}

// TestDrills guards against servers that left and are listed again, and against those that
// live and are not, while the store comes back from a copy and some instances are cut off.
func TestDrills(t *testing.T) {
	for _, n := range []int{16, 60} {
		for _, restores := range []int{1, 2} {
			for _, gap := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond} {
				for _, cut := range []refusal{served, refused, forgotten} {
					for seed := range uint64(2) {
						t.Run(fmt.Sprintf("%d/%d/%v/%d/%d", n, restores, gap, cut, seed), func(t *testing.T) {
							synctest.Test(t, func(t *testing.T) {
								d := &drillTrial{
									zonedFleet: newZonedFleet(n), t: t, random: rand.New(rand.NewPCG(seed, 1)), errors: make(map[string]bool),
									alive: make(map[string]bool), calm: make(map[string]bool), left: make(map[string]bool), known: make(map[string]bool),
								}
								defer func() { d.stop(); d.running.Wait() }()
								d.run(n, restores, gap, cut)
							})
						})
					}
				}
			}
		}
	}
}
