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
	restores int
	gap      time.Duration // Time from a restore to the next outage.
	cut      refusal       // How a fourth of the instances is cut off after the restores.

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
			d.checkList(x)
		}
	}
}

// checkList checks that x lists the known servers and none that left.
func (d *drillTrial) checkList(x *zonedInstance) {
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
		if !names[key] {
			d.fail("got no %s (length) at %s, which lives", key, x.Name)
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

func (d *drillTrial) run(t *testing.T) {
	d.t = t
	time.Sleep(5 * time.Second)
	for i := 1; i <= 12; i++ {
		d.alive[serverKey(i)] = true
		d.write(serverKey(i), false)
	}
	time.Sleep(2 * time.Second)
	records, revision := d.store.copyRecords()
	d.changeServers()
	for i, x := range d.nodes {
		d.calm[x.Name] = i%4 != 0
	}
	d.from = time.Now()
	for range d.restores {
		d.restoreStore(records, revision)
	}
	if d.random.IntN(2) == 0 {
		d.store.mu.Lock()
		d.store.compactedRevision = d.store.revision
		d.store.mu.Unlock()
	}
	d.settle()
	d.watchLists(3 * time.Second)
	d.cutOff(served)
	time.Sleep(20 * time.Second)
	d.write("config", false)
	time.Sleep(3 * time.Second)
	d.checkEnd()
}

// changeServers lets some servers leave and some join, in the time that is lost.
func (d *drillTrial) changeServers() {
	for i := range 6 {
		left, joined := serverKey(2*i+1+d.random.IntN(2)), serverKey(13+i)
		d.alive[left], d.alive[joined] = false, true
		d.write(left, true)
		d.write(joined, false)
	}
	time.Sleep(3 * time.Second)
	for i := 1; i <= 18; i++ {
		if key := serverKey(i); d.alive[key] {
			d.known[key] = true
		} else {
			d.left[key] = true
		}
	}
}

// restoreStore takes the store away and brings it back as it was.
func (d *drillTrial) restoreStore(records map[string]watcher.Record, revision uint64) {
	d.storeFault(refused, func(int) bool { return true })
	d.watchLists(time.Duration(d.random.IntN(2000)) * time.Millisecond)
	d.store.restore(records, revision)
	d.cutOff(d.cut)
	if d.random.IntN(2) == 0 {
		d.write("config", false)
	}
	d.watchLists(d.gap)
}

// cutOff lets the store serve all instances but a fourth, which it treats as r says.
// Forgotten ones are cut off from the others too.
func (d *drillTrial) cutOff(r refusal) {
	d.storeFault(served, func(int) bool { return true })
	d.storeFault(r, func(i int) bool { return i%4 == 0 })
	for i, x := range d.nodes {
		x.silent.Store(i%4 == 0 && r == forgotten)
	}
}

// checkEnd checks that all instances list the servers that live.
func (d *drillTrial) checkEnd() {
	want := []string{"one"}
	for key, alive := range d.alive {
		if alive {
			want = append(want, strings.TrimPrefix(key, "s/"))
		}
	}
	slices.Sort(want)
	for _, x := range d.nodes {
		if got := serverNames(x.Watcher); got != fmt.Sprint(want) {
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
	for c := range 48 {
		n, restores, gap := []int{16, 60}[c%2], 1+c/2%2, []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond}[c/4%2]
		cut, seed := refusal(c/8%3), uint64(c/24)
		t.Run(fmt.Sprintf("%d/%d/%v/%d/%d", n, restores, gap, cut, seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &drillTrial{
					zonedFleet: newZonedFleet(n), restores: restores, gap: gap, cut: cut, random: rand.New(rand.NewPCG(seed, 1)), errors: make(map[string]bool),
					alive: make(map[string]bool), calm: make(map[string]bool), left: make(map[string]bool), known: make(map[string]bool),
				}
				defer func() { d.stop(); d.running.Wait() }()
				d.run(t)
			})
		})
	}
}
