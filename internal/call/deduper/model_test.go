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

// Rules of the modelled instances and bounds of the model. The bounds use up the
// margin exactly: maxListAge + maxLag + maxSkew + 2 x maxClockError = margin.
const (
	maxListAge, maxSkew, margin       = 10 * time.Second, 5 * time.Second, 30 * time.Second
	window                            = 100 * time.Second
	maxLag, maxReadGap, maxClockError = 13 * time.Second, 10 * time.Second, time.Second
)

// process is one incarnation of an instance with its own clock, its own reads of
// the list and its own records.
type process struct {
	name                 string
	peer                 netip.AddrPort
	incarnation          uint64
	startTime            time.Time
	clockError           time.Duration // Deviation of its clock from the model's time.
	lag                  time.Duration // Age of the list in most of its reads.
	place                string
	placeSince, listRead time.Time
	lastSequence         uint64
	store                *deduper.Store
}

// call is a call and what the model records about it.
type call struct {
	key          deduper.IdempotencyKey
	firstAttempt time.Time // Time of the first attempt; zero before it.
	runs         int
}

// execution is a call that a process has decided to execute but has not sent yet.
type execution struct {
	process *process
	record  *deduper.Record
	call    *call
}

// forwardedCall is a call that is being forwarded to the instance name.
type forwardedCall struct {
	name string
	call *call
}

// model is a fleet whose list of instances, clocks, processes and calls are
// random. At any time, the list gives the same place to all idempotency keys.
type model struct {
	t          *rapid.T
	rules      deduper.Rules
	now        time.Time
	moveTimes  []time.Time // Times at which the list changed the place; places has the new ones.
	places     []string
	processes  []*process
	calls      []*call
	executions []*execution
	forwards   []forwardedCall
	runs       int
}

var instanceNames = []string{"a", "b", "c"}

func newModel(t *rapid.T, rules deduper.Rules) *model {
	start := time.Unix(1_800_000_000, 0)
	m := &model{t: t, rules: rules, now: start, moveTimes: []time.Time{start}, places: []string{"a"}}
	for i := range instanceNames {
		m.processes = append(m.processes, nil)
		m.replaceProcess(i)
	}
	for _, p := range m.processes { // All had read the list for an hour before the first step.
		p.place, p.placeSince, p.listRead = "a", start.Add(-time.Hour), m.now
	}
	return m
}

func (m *model) drawDuration(low, high time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(low/time.Millisecond), int64(high/time.Millisecond)).Draw(m.t, "ms")) * time.Millisecond
}

// drawWithBounds draws one of the two bounds, or a value between them.
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

// replaceProcess starts a new incarnation of instance i without records.
func (m *model) replaceProcess(i int) {
	m.now = m.now.Add(time.Millisecond) // Two incarnations never start at the same time.
	m.processes[i] = &process{
		name: instanceNames[i], peer: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)), startTime: m.now, lag: m.drawWithBounds(0, maxLag),
		incarnation: uint64(m.now.UnixNano()), clockError: m.drawWithBounds(-maxClockError, maxClockError),
		store: &deduper.Store{Retention: window + margin},
	}
}

// advanceTime advances the time, after which most processes read the list, each
// with its own lag.
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

// placeAt returns the place that the list gave at a time.
func (m *model) placeAt(at time.Time) string {
	for i := len(m.moveTimes) - 1; i > 0; i-- {
		if !at.Before(m.moveTimes[i]) {
			return m.places[i]
		}
	}
	return m.places[0]
}

// readList records a read of the list that gives place.
func (p *process) readList(place string, now time.Time) {
	if place != p.place || now.Sub(p.listRead) > maxReadGap {
		p.place, p.placeSince = place, now
	}
	p.listRead = now
}

// movePlace changes the place, unless its last change was too recent.
func (m *model) movePlace() {
	if m.now.Sub(m.moveTimes[len(m.moveTimes)-1]) <= maxReadGap+maxLag {
		return
	}
	m.moveTimes = append(m.moveTimes, m.now)
	m.places = append(m.places, instanceNames[m.drawIndex(len(instanceNames))])
}

// createCall adds a call whose idempotency key is issued, a UUIDv7 or carries no
// time.
func (m *model) createCall() {
	key := deduper.ParseIdempotencyKey(fmt.Sprintf("call %d", len(m.calls)))
	switch p := m.processes[m.drawIndex(len(instanceNames))]; m.drawIndex(4) {
	case 0:
		p.lastSequence = max(p.lastSequence+1, uint64(m.now.Sub(p.startTime)))
		key = deduper.ParseIdempotencyKey(fmt.Sprintf("%s/%d/%d", p.peer, p.incarnation, p.lastSequence))
	case 1, 2:
		var u uuid.UUID
		ms := m.now.Add(m.drawWithBounds(-40*time.Second, maxSkew)).UnixMilli()
		for i := range 6 {
			u[i] = byte(ms >> (40 - 8*i))
		}
		u[6], u[8], u[15] = 0x70, 0x80, byte(len(m.calls))
		key = deduper.ParseIdempotencyKey(u.String())
	}
	m.calls = append(m.calls, &call{key: key})
}

// attemptCalls makes attempts of the last three calls at some of the processes.
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

// decide lets p decide about an attempt of c and schedules what follows from it.
func (m *model) decide(p *process, c *call, forwarded bool) {
	if m.now.Sub(c.firstAttempt) > window {
		return
	}
	now := m.now.Add(p.clockError)
	d, rec := p.store.BeginAttempt(c.key.Text, 1, now, func(s deduper.State, full bool) deduper.Decision {
		return m.rules.Decide(c.key, deduper.View{
			Name: p.name, PeerAddr: p.peer, Incarnation: p.incarnation, Now: now, Elapsed: m.now.Sub(p.startTime), LastSequence: p.lastSequence,
			Place: p.place, PlaceSince: p.placeSince, ListRead: p.listRead, Forwarded: forwarded, StoreFull: full,
		}, s)
	})
	switch d.Verdict {
	case deduper.RunHere:
		m.executions = append(m.executions, &execution{p, rec, c})
	case deduper.ForwardCall:
		for _, q := range m.processes {
			if q.peer == d.PeerAddr || d.Name == q.name {
				m.forwards = append(m.forwards, forwardedCall{q.name, c})
			}
		}
	case deduper.ReplayResponse, deduper.ReportUnknown:
	case deduper.ReportRejected:
		m.t.Fatalf("%s: got rejected %s, want none in this model", c.key.Text, d.Reason)
	}
}

// deliverForward delivers one of the forwarded calls or loses it; so they arrive
// in any order, after any delay and sometimes twice.
func (m *model) deliverForward() {
	i := m.drawIndex(len(m.forwards))
	f := m.forwards[i]
	m.forwards = append(m.forwards[:i], m.forwards[i+1:]...)
	if m.drawIndex(4) == 0 {
		return
	}
	if m.drawBool() {
		m.forwards = append(m.forwards, f) // It may arrive again later.
	}
	for _, p := range m.processes {
		if p.name == f.name {
			m.decide(p, f.call, true)
		}
	}
}

// finishExecution sends one of the calls that a process decided to execute,
// possibly long ago, or ends it without sending.
func (m *model) finishExecution() {
	i := m.drawIndex(len(m.executions))
	e := m.executions[i]
	m.executions = append(m.executions[:i], m.executions[i+1:]...)
	if m.drawIndex(4) == 0 {
		e.process.store.Remove(e.record) // Nothing was sent, so the attempt is rejected.
		return
	}
	m.runs++
	if e.call.runs++; e.call.runs > 1 {
		m.t.Fatalf("%s: got %d runs, want at most 1", e.call.key.Text, e.call.runs)
	}
	e.process.store.EndAttempt(e.record, nil, m.now.Add(e.process.clockError))
}

func (m *model) drawBool() bool { return rapid.Bool().Draw(m.t, "chance") }

// step advances the time and lets the list, the processes and the callers act.
func (m *model) step() {
	m.advanceTime()
	if m.drawBool() {
		m.movePlace()
	}
	if m.drawBool() {
		m.createCall()
	}
	if m.drawIndex(20) == 7 {
		m.replaceProcess(m.drawIndex(len(instanceNames)))
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

// TestAtMostOnceModel guards against two executions of one idempotency key. They
// could come about at two instances with outdated lists, after an instance was
// replaced, paused or partitioned, or when a late repeat finds its record
// removed.
func TestAtMostOnceModel(t *testing.T) {
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, deduper.Rules{Window: window, Margin: margin, MaxListAge: maxListAge, MaxSkew: maxSkew})
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
