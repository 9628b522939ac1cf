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

	planner      Planner
	running      sync.WaitGroup
	limiter      *semaphore.Weighted
	sentCount    atomic.Int64
	skippedCount atomic.Int64
}

const (
	// dialLead is the time before the middle of a time slot at which connections are opened.
	dialLead = 100 * time.Millisecond
	// maxConcurrentProbes bounds the probes of an instance at a time.
	maxConcurrentProbes = 64
	// viewPollInterval is the longest time between two looks at the view.
	viewPollInterval = time.Second
)

// Sent returns the number of probes sent so far.
func (p *Prober) Sent() int64 { return p.sentCount.Load() }

// Skipped returns the number of turns that passed without a probe because it
// would have been late, another was active or too many ran.
func (p *Prober) Skipped() int64 { return p.skippedCount.Load() }

// Run probes until ctx is done, waits for the probes that run and returns nil.
func (p *Prober) Run(ctx context.Context) error {
	if p.Log == nil {
		p.Log = &log.DefaultLogger
	}
	if p.Dial == nil {
		p.Dial = dialTCP
	}
	p.planner = Planner{Name: p.Name, Start: time.Now()}
	p.limiter = semaphore.NewWeighted(maxConcurrentProbes)
	defer p.running.Wait()
	after := time.Now()
	for ctx.Err() == nil {
		earliest := time.Now().Add(dialLead)
		if after.After(earliest.Add(dialLead)) {
			after = earliest // The clock was set back.
		}
		middle := Next(laterTime(after, earliest), p.View())
		// The view is read again after a while, because a change may bring an earlier time slot.
		if wait := time.Until(middle) - dialLead; middle.IsZero() || wait > viewPollInterval {
			sleeper.Sleep(ctx, viewPollInterval)
		} else if sleeper.Sleep(ctx, wait) {
			after = middle
			p.startProbes(ctx, middle)
		}
	}
	return nil
}

// startProbes begins the probes that are due at middle.
func (p *Prober) startProbes(ctx context.Context, middle time.Time) {
	for _, a := range p.planner.Due(middle, p.View(), p.Idle) {
		if !p.planner.Begin(a) {
			p.skippedCount.Add(1)
			continue
		}
		if !p.limiter.TryAcquire(1) {
			p.skippedCount.Add(1)
			p.planner.End(a, 0)
			continue
		}
		p.running.Add(1)
		go p.runProbe(ctx, a)
	}
}

// runProbe carries out turn t.
func (p *Prober) runProbe(ctx context.Context, a Turn) {
	defer p.running.Done()
	defer p.limiter.Release(1)
	o := p.probeServer(ctx, a)
	p.planner.End(a, o.charged)
	switch {
	case o.skipped:
		p.skippedCount.Add(1)
	case ctx.Err() == nil && p.Report != nil:
		p.Report(o.result)
	}
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
