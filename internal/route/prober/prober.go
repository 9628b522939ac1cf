package prober

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/semaphore"

	"sardinelever.example/sardinelever/internal/flow/sleeper"
)

// Figure is the result of one probe.
type Figure struct {
	Service string
	Server  netip.AddrPort
	Age     time.Duration // Time since the probe was sent.
	Latency time.Duration // 0 when no answer came.
	Busy    int           // Calls in flight by the server's report, -1 when unknown.
	Slots   int           // Slots by the server's report, -1 when unknown.
	Failed  bool          // No connection, no answer in time or a status other than 2xx.
	Drain   bool          // The backend server asks for no new calls.
}

// Prober probes backend servers in the turns of its instance. The exported
// fields are set before Run.
type Prober struct {
	Name   string                                           // Name of the instance in the list.
	View   func() View                                      // View returns the present view; it is read before each time slot.
	Idle   func(service string, server netip.AddrPort) bool // Idle reports that there are no recent results of a server; nil means always.
	Report func(Figure)                                     // Report takes each result; it must not block for long.
	Dial   func(ctx context.Context, server netip.AddrPort) (net.Conn, error)
	Log    *log.Logger // nil means log.DefaultLogger.

	planner Planner
	probes  sync.WaitGroup
	slots   *semaphore.Weighted
	sent    atomic.Int64
	skipped atomic.Int64
}

const (
	// lead is the time before the middle of a time slot at which connections are opened.
	lead = 100 * time.Millisecond
	// maxProbes bounds the probes of an instance at a time.
	maxProbes = 64
	// viewWait is the longest time between two looks at the view.
	viewWait = time.Second
)

// Sent returns the number of probes sent so far.
func (p *Prober) Sent() int64 { return p.sent.Load() }

// Skipped returns the number of turns that passed without a probe because it
// would have been late, another was active or too many ran.
func (p *Prober) Skipped() int64 { return p.skipped.Load() }

// Run probes until ctx is done, waits for the probes that run and returns nil.
func (p *Prober) Run(ctx context.Context) error {
	if p.Log == nil {
		p.Log = &log.DefaultLogger
	}
	if p.Dial == nil {
		p.Dial = dial
	}
	p.planner = Planner{Name: p.Name, Start: time.Now()}
	p.slots = semaphore.NewWeighted(maxProbes)
	defer p.probes.Wait()
	after := time.Now()
	for ctx.Err() == nil {
		ahead := time.Now().Add(lead)
		if after.After(ahead.Add(lead)) {
			after = ahead // The clock was set back.
		}
		middle := Next(latest(after, ahead), p.View())
		// The view is read again after a while, because a change may bring an earlier time slot.
		if wait := time.Until(middle) - lead; middle.IsZero() || wait > viewWait {
			sleeper.Sleep(ctx, viewWait)
		} else if sleeper.Sleep(ctx, wait) {
			after = middle
			p.start(ctx, middle)
		}
	}
	return nil
}

// start begins the probes that are due at middle.
func (p *Prober) start(ctx context.Context, middle time.Time) {
	for _, t := range p.planner.Due(middle, p.View(), p.Idle) {
		if !p.planner.Begin(t) {
			p.skipped.Add(1)
			continue
		}
		if !p.slots.TryAcquire(1) {
			p.skipped.Add(1)
			p.planner.End(t, 0)
			continue
		}
		p.probes.Add(1)
		go p.run(ctx, t)
	}
}

// run carries out turn t.
func (p *Prober) run(ctx context.Context, t Turn) {
	defer p.probes.Done()
	defer p.slots.Release(1)
	r := p.probe(ctx, t)
	p.planner.End(t, r.took)
	switch {
	case r.skipped:
		p.skipped.Add(1)
	case ctx.Err() == nil && p.Report != nil:
		p.Report(r.figure)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
