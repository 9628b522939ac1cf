package deduper_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"sardinelever.example/sardinelever/internal/call/deduper"
)

// Bounds of the model; lag + clock error use up the margin exactly.
const (
	fresh, skew, margin = 10 * time.Second, 5 * time.Second, 30 * time.Second
	window              = 100 * time.Second
	lag, gap, clock     = 13 * time.Second, 10 * time.Second, time.Second
)

// process is one incarnation of an instance with its own clock, reads and records.
type process struct {
	name        string
	peer        netip.AddrPort
	incarnation uint64
	start       time.Time
	err         time.Duration // Of its clock.
	lag         time.Duration // Of most of its reads.
	place       string
	since, read time.Time
	last        uint64
	store       *deduper.Store
}

// call is a call and what the model knows of it.
type call struct {
	id    deduper.Identity
	first time.Time // First attempt.
	runs  int
}

// execution is a call that a process decided to run and may send later.
type execution struct {
	p    *process
	rec  *deduper.Record
	call *call
}

type forward struct {
	name string
	call *call
}

type world struct {
	t          *rapid.T
	rules      deduper.Rules
	now        time.Time
	moved      []time.Time // Times at which the list changed the place.
	owners     []string
	processes  []*process
	calls      []*call
	executions []*execution
	forwards   []forward
	ran        int
}

var names = []string{"a", "b", "c"}

func newWorld(t *rapid.T, rules deduper.Rules) *world {
	start := time.Unix(1_800_000_000, 0)
	w := &world{t: t, rules: rules, now: start, moved: []time.Time{start}, owners: []string{"a"}}
	for i := range names {
		w.processes = append(w.processes, nil)
		w.replace(i)
	}
	for _, p := range w.processes { // The list was read for long before the first step.
		p.place, p.since, p.read = "a", start.Add(-time.Hour), w.now
	}
	return w
}

func (w *world) duration(low, high time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(low/time.Millisecond), int64(high/time.Millisecond)).Draw(w.t, "ms")) * time.Millisecond
}

// extreme draws one of the bounds, or a value between them.
func (w *world) extreme(low, high time.Duration) time.Duration {
	switch w.index(3) {
	case 0:
		return low
	case 1:
		return high
	}
	return w.duration(low, high)
}

func (w *world) index(n int) int { return rapid.IntRange(0, n-1).Draw(w.t, "index") }

func (w *world) replace(i int) {
	w.now = w.now.Add(time.Millisecond) // Two incarnations never start at the same time.
	w.processes[i] = &process{
		name: names[i], peer: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)), start: w.now, lag: w.extreme(0, lag),
		incarnation: uint64(w.now.UnixNano()), err: w.extreme(-clock, clock),
		store: &deduper.Store{Retention: window + margin},
	}
}

// tick lets time pass; most processes read the list, each with its own lag.
func (w *world) tick() {
	w.now = w.now.Add(w.duration(0, 9*time.Second))
	for _, p := range w.processes {
		late := p.lag
		switch w.index(10) {
		case 0:
			continue
		case 1:
			late = w.duration(0, lag)
		}
		p.observe(w.listed(w.now.Add(-late)), w.now.Add(p.err))
	}
}

func (w *world) listed(at time.Time) string {
	for i := len(w.moved) - 1; i > 0; i-- {
		if !at.Before(w.moved[i]) {
			return w.owners[i]
		}
	}
	return w.owners[0]
}

func (p *process) observe(place string, now time.Time) {
	if place != p.place || now.Sub(p.read) > gap {
		p.place, p.since = place, now
	}
	p.read = now
}

func (w *world) move() {
	if w.now.Sub(w.moved[len(w.moved)-1]) <= gap+lag {
		return
	}
	w.moved = append(w.moved, w.now)
	w.owners = append(w.owners, names[w.index(len(names))])
}

func (w *world) create() {
	id := deduper.Parse(fmt.Sprintf("call %d", len(w.calls)))
	switch p := w.processes[w.index(len(names))]; w.index(4) {
	case 0:
		p.last = max(p.last+1, uint64(w.now.Sub(p.start)))
		id = deduper.Parse(fmt.Sprintf("%s/%d/%d", p.peer, p.incarnation, p.last))
	case 1, 2:
		var u uuid.UUID
		ms := w.now.Add(w.extreme(-40*time.Second, skew)).UnixMilli()
		for i := range 6 {
			u[i] = byte(ms >> (40 - 8*i))
		}
		u[6], u[8], u[15] = 0x70, 0x80, byte(len(w.calls))
		id = deduper.Parse(u.String())
	}
	w.calls = append(w.calls, &call{id: id})
}

// attempt repeats the recent calls at some of the processes.
func (w *world) attempt() {
	for _, c := range w.calls[max(0, len(w.calls)-3):] {
		for _, p := range w.processes {
			if !w.chance() {
				continue
			}
			if c.first.IsZero() {
				c.first = w.now
			}
			w.decide(p, c, false)
		}
	}
}

func (w *world) decide(p *process, c *call, forwarded bool) {
	if w.now.Sub(c.first) > window {
		return
	}
	now := w.now.Add(p.err)
	d, rec := p.store.Begin(c.id.Text, 1, now, func(s deduper.State, full bool) deduper.Decision {
		return w.rules.Decide(c.id, deduper.View{
			Name: p.name, Peer: p.peer, Incarnation: p.incarnation, Now: now, Elapsed: w.now.Sub(p.start), Last: p.last,
			Place: p.place, Since: p.since, Read: p.read, Forwarded: forwarded, Full: full,
		}, s)
	})
	switch d.Verdict {
	case deduper.Run:
		w.executions = append(w.executions, &execution{p, rec, c})
	case deduper.Forward:
		for _, q := range w.processes {
			if q.peer == d.Peer || d.Name == q.name {
				w.forwards = append(w.forwards, forward{q.name, c})
			}
		}
	case deduper.Replay, deduper.Unknown:
	case deduper.Reject:
		w.t.Fatalf("%s: got rejected %s, want none in this model", c.id.Text, d.Reason)
	}
}

// deliver hands over one forwarded call, after any delay and in any order, or loses it.
func (w *world) deliver() {
	i := w.index(len(w.forwards))
	f := w.forwards[i]
	w.forwards = append(w.forwards[:i], w.forwards[i+1:]...)
	if w.index(4) == 0 {
		return
	}
	if w.chance() {
		w.forwards = append(w.forwards, f) // It arrives later or again.
	}
	for _, p := range w.processes {
		if p.name == f.name {
			w.decide(p, f.call, true)
		}
	}
}

// finish sends one call that was decided, possibly long ago, or finds that it cannot.
func (w *world) finish() {
	i := w.index(len(w.executions))
	e := w.executions[i]
	w.executions = append(w.executions[:i], w.executions[i+1:]...)
	if w.index(4) == 0 {
		e.p.store.Forget(e.rec) // Reported as rejected; nothing was sent.
		return
	}
	w.ran++
	if e.call.runs++; e.call.runs > 1 {
		w.t.Fatalf("%s: got %d runs, want at most 1", e.call.id.Text, e.call.runs)
	}
	e.p.store.End(e.rec, nil, w.now.Add(e.p.err))
}

func (w *world) chance() bool { return rapid.Bool().Draw(w.t, "chance") }

func (w *world) round() {
	w.tick()
	if w.chance() {
		w.move()
	}
	if w.chance() {
		w.create()
	}
	if w.index(20) == 7 {
		w.replace(w.index(len(names)))
	}
	w.attempt()
	for range w.forwards {
		w.deliver()
	}
	for range w.executions {
		if w.chance() {
			w.finish()
		}
	}
}

// TestModel guards against an identity that runs twice: at two instances with
// outdated lists, after a replaced instance, a pause or a partition, or because
// a late repeat finds its record gone.
func TestModel(t *testing.T) {
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, deduper.Rules{Window: window, Margin: margin, Fresh: fresh, Skew: skew})
		for range 30 {
			w.round()
		}
		ran += w.ran
	})
	if ran == 0 {
		t.Error("got no run, want a model that runs calls")
	}
	t.Logf("%d calls were run", ran)
}
