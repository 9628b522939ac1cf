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
	maxListAge, maxSkew, margin       = 10 * time.Second, 5 * time.Second, 30 * time.Second
	window                            = 100 * time.Second
	maxLag, maxReadGap, maxClockError = 13 * time.Second, 10 * time.Second, time.Second
)

// process is one incarnation of an instance with its own clock, reads and records.
type process struct {
	name        string
	peer        netip.AddrPort
	incarnation uint64
	start       time.Time
	clockError  time.Duration // Of its clock.
	lag         time.Duration // Of most of its reads.
	place       string
	since, read time.Time
	last        uint64
	store       *deduper.Store
}

// call is a call and what the model knows of it.
type call struct {
	id           deduper.Identity
	firstAttempt time.Time // First attempt.
	runs         int
}

// execution is a call that a process decided to run and may send later.
type execution struct {
	process *process
	record  *deduper.Record
	call    *call
}

type forward struct {
	name string
	call *call
}

type model struct {
	t          *rapid.T
	rules      deduper.Rules
	now        time.Time
	moveTimes  []time.Time // Times at which the list changed the place.
	places     []string
	processes  []*process
	calls      []*call
	executions []*execution
	forwards   []forward
	runs       int
}

var names = []string{"a", "b", "c"}

func newModel(t *rapid.T, rules deduper.Rules) *model {
	start := time.Unix(1_800_000_000, 0)
	m := &model{t: t, rules: rules, now: start, moveTimes: []time.Time{start}, places: []string{"a"}}
	for i := range names {
		m.processes = append(m.processes, nil)
		m.replaceProcess(i)
	}
	for _, p := range m.processes { // The list was read for long before the first step.
		p.place, p.since, p.read = "a", start.Add(-time.Hour), m.now
	}
	return m
}

func (m *model) drawDuration(low, high time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(low/time.Millisecond), int64(high/time.Millisecond)).Draw(m.t, "ms")) * time.Millisecond
}

// drawWithBounds draws one of the bounds, or a value between them.
func (m *model) drawWithBounds(low, high time.Duration) time.Duration {
	switch m.drawIndex(3) {
	case 0:
		return low
	case 1:
		return high
	}
	return m.drawDuration(low, high)
}

func (m *model) drawIndex(n int) int { return rapid.IntRange(0, n-1).Draw(m.t, "index") }

func (m *model) replaceProcess(i int) {
	m.now = m.now.Add(time.Millisecond) // Two incarnations never start at the same time.
	m.processes[i] = &process{
		name: names[i], peer: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)), start: m.now, lag: m.drawWithBounds(0, maxLag),
		incarnation: uint64(m.now.UnixNano()), clockError: m.drawWithBounds(-maxClockError, maxClockError),
		store: &deduper.Store{Retention: window + margin},
	}
}

// advanceTime lets time pass; most processes read the list, each with its own lag.
func (m *model) advanceTime() {
	m.now = m.now.Add(m.drawDuration(0, 9*time.Second))
	for _, p := range m.processes {
		delay := p.lag
		switch m.drawIndex(10) {
		case 0:
			continue
		case 1:
			delay = m.drawDuration(0, maxLag)
		}
		p.readList(m.placeAt(m.now.Add(-delay)), m.now.Add(p.clockError))
	}
}

func (m *model) placeAt(at time.Time) string {
	for i := len(m.moveTimes) - 1; i > 0; i-- {
		if !at.Before(m.moveTimes[i]) {
			return m.places[i]
		}
	}
	return m.places[0]
}

func (p *process) readList(place string, now time.Time) {
	if place != p.place || now.Sub(p.read) > maxReadGap {
		p.place, p.since = place, now
	}
	p.read = now
}

func (m *model) movePlace() {
	if m.now.Sub(m.moveTimes[len(m.moveTimes)-1]) <= maxReadGap+maxLag {
		return
	}
	m.moveTimes = append(m.moveTimes, m.now)
	m.places = append(m.places, names[m.drawIndex(len(names))])
}

func (m *model) createCall() {
	id := deduper.Parse(fmt.Sprintf("call %d", len(m.calls)))
	switch p := m.processes[m.drawIndex(len(names))]; m.drawIndex(4) {
	case 0:
		p.last = max(p.last+1, uint64(m.now.Sub(p.start)))
		id = deduper.Parse(fmt.Sprintf("%s/%d/%d", p.peer, p.incarnation, p.last))
	case 1, 2:
		var u uuid.UUID
		ms := m.now.Add(m.drawWithBounds(-40*time.Second, maxSkew)).UnixMilli()
		for i := range 6 {
			u[i] = byte(ms >> (40 - 8*i))
		}
		u[6], u[8], u[15] = 0x70, 0x80, byte(len(m.calls))
		id = deduper.Parse(u.String())
	}
	m.calls = append(m.calls, &call{id: id})
}

// attemptCalls repeats the recent calls at some of the processes.
func (m *model) attemptCalls() {
	for _, c := range m.calls[max(0, len(m.calls)-3):] {
		for _, p := range m.processes {
			if !m.drawBool() {
				continue
			}
			if c.firstAttempt.IsZero() {
				c.firstAttempt = m.now
			}
			m.decide(p, c, false)
		}
	}
}

func (m *model) decide(p *process, c *call, forwarded bool) {
	if m.now.Sub(c.firstAttempt) > window {
		return
	}
	now := m.now.Add(p.clockError)
	d, rec := p.store.Begin(c.id.Text, 1, now, func(s deduper.State, full bool) deduper.Decision {
		return m.rules.Decide(c.id, deduper.View{
			Name: p.name, Peer: p.peer, Incarnation: p.incarnation, Now: now, Elapsed: m.now.Sub(p.start), Last: p.last,
			Place: p.place, Since: p.since, Read: p.read, Forwarded: forwarded, Full: full,
		}, s)
	})
	switch d.Verdict {
	case deduper.Run:
		m.executions = append(m.executions, &execution{p, rec, c})
	case deduper.Forward:
		for _, q := range m.processes {
			if q.peer == d.Peer || d.Name == q.name {
				m.forwards = append(m.forwards, forward{q.name, c})
			}
		}
	case deduper.Replay, deduper.Unknown:
	case deduper.Reject:
		m.t.Fatalf("%s: got rejected %s, want none in this model", c.id.Text, d.Reason)
	}
}

// deliverForward hands over one forwarded call, after any delay and in any order, or loses it.
func (m *model) deliverForward() {
	i := m.drawIndex(len(m.forwards))
	f := m.forwards[i]
	m.forwards = append(m.forwards[:i], m.forwards[i+1:]...)
	if m.drawIndex(4) == 0 {
		return
	}
	if m.drawBool() {
		m.forwards = append(m.forwards, f) // It arrives later or again.
	}
	for _, p := range m.processes {
		if p.name == f.name {
			m.decide(p, f.call, true)
		}
	}
}

// finishExecution sends one call that was decided, possibly long ago, or finds that it cannot.
func (m *model) finishExecution() {
	i := m.drawIndex(len(m.executions))
	e := m.executions[i]
	m.executions = append(m.executions[:i], m.executions[i+1:]...)
	if m.drawIndex(4) == 0 {
		e.process.store.Forget(e.record) // Reported as rejected; nothing was sent.
		return
	}
	m.runs++
	if e.call.runs++; e.call.runs > 1 {
		m.t.Fatalf("%s: got %d runs, want at most 1", e.call.id.Text, e.call.runs)
	}
	e.process.store.End(e.record, nil, m.now.Add(e.process.clockError))
}

func (m *model) drawBool() bool { return rapid.Bool().Draw(m.t, "chance") }

func (m *model) step() {
	m.advanceTime()
	if m.drawBool() {
		m.movePlace()
	}
	if m.drawBool() {
		m.createCall()
	}
	if m.drawIndex(20) == 7 {
		m.replaceProcess(m.drawIndex(len(names)))
	}
	m.attemptCalls()
	for range m.forwards {
		m.deliverForward()
	}
	for range m.executions {
		if m.drawBool() {
			m.finishExecution()
		}
	}
}

// TestAtMostOnceModel guards against an identity that runs twice: at two instances with
// outdated lists, after a replaced instance, a pause or a partition, or because
// a late repeat finds its record gone.
func TestAtMostOnceModel(t *testing.T) {
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, deduper.Rules{Window: window, Margin: margin, Fresh: maxListAge, Skew: maxSkew})
		for range 30 {
			m.step()
		}
		runs += m.runs
	})
	if runs == 0 {
		t.Error("got no run, want a model that runs calls")
	}
	t.Logf("%d calls were run", runs)
}
