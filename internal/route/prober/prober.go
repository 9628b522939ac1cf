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
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// Result is the result of one probe.
type Result struct {
	Service       string
	Server        netip.AddrPort
	Age           time.Duration       // Time since the probe was sent.
	Latency       time.Duration       // 0 when no response arrived.
	ReportedCalls int                 // Calls in flight by the server's load report; -1 when unknown.
	ReportedSlots int                 // Slots by the server's load report; -1 when unknown.
	Failed        bool                // No connection, no response in time or a status other than 2xx.
	Drain         bool                // The backend server asked for no new calls.
	Pause         time.Duration       // Time for which the backend server wants no calls and probes; 0 means none.
	InvalidPause  string              // Text of such a time that is not valid; usually empty.
	Leaving       bool                // The process of the backend server gets no calls any more.
	Lifetime      withholder.Lifetime // Lifetime of the backend server when the connection was opened.
}

// Prober sends the probes that the schedule assigns to its instance. The exported
// fields must be set before Run is called.
type Prober struct {
	InstanceName string // Name of the instance in the platform's list.
	// CurrentView returns the current view. It is called before each time slot.
	CurrentView func() View
	// IsIdle reports whether there are no recent results of calls to a server, so
	// that a probe is useful. nil means that every server is idle.
	IsIdle func(service string, server netip.AddrPort) bool
	// MayProbe reports, immediately before a probe is sent, whether the server takes
	// probes now. nil means that every server does.
	MayProbe func(service string, server netip.AddrPort) bool
	// FindLifetime returns the lifetime of a server; nil means that it is unknown.
	FindLifetime func(service string, server netip.AddrPort) withholder.Lifetime
	// ReportResult receives each result and must return quickly; nil drops the results.
	ReportResult func(Result)
	// Dial opens a connection to a server; nil means TCP.
	Dial func(ctx context.Context, server netip.AddrPort) (net.Conn, error)
	Log  *log.Logger // nil means log.DefaultLogger.

	planner      Planner
	running      sync.WaitGroup
	limiter      *semaphore.Weighted
	sentCount    atomic.Int64
	skippedCount atomic.Int64
}

const (
	// dialLead is how long before the middle of a time slot connections are opened.
	dialLead = 100 * time.Millisecond
	// maxConcurrentProbes bounds the number of probes that an instance runs at the same time.
	maxConcurrentProbes = 64
	// viewPollInterval is the longest time between two calls of CurrentView.
	viewPollInterval = time.Second
)

// ProbesSent returns the number of probes sent since the start.
func (p *Prober) ProbesSent() int64 { return p.sentCount.Load() }

// ProbesSkipped returns the number of assignments for which no probe was sent,
// because it was too late, a probe of the server was active, or too many probes
// were running.
func (p *Prober) ProbesSkipped() int64 { return p.skippedCount.Load() }

// Run sends probes until ctx is done, waits for the running probes and returns nil.
func (p *Prober) Run(ctx context.Context) error {
	if p.Log == nil {
		p.Log = &log.DefaultLogger
	}
	if p.Dial == nil {
		p.Dial = dialTCP
	}
	p.planner = Planner{InstanceName: p.InstanceName, ProcessStart: time.Now()}
	p.limiter = semaphore.NewWeighted(maxConcurrentProbes)
	defer p.running.Wait()
	after := time.Now()
	for ctx.Err() == nil {
		earliest := time.Now().Add(dialLead)
		if after.After(earliest.Add(dialLead)) {
			after = earliest // The wall clock was set back.
		}
		slotMiddle := NextProbeTime(laterTime(after, earliest), p.CurrentView())
		// A long wait is interrupted to read the view again, because a change may add an earlier time slot.
		if wait := time.Until(slotMiddle) - dialLead; slotMiddle.IsZero() || wait > viewPollInterval {
			sleeper.Sleep(ctx, viewPollInterval)
		} else if sleeper.Sleep(ctx, wait) {
			after = slotMiddle
			p.startProbes(ctx, slotMiddle)
		}
	}
	return nil
}

// startProbes starts a goroutine for each probe that is due at slotMiddle, the
// middle of a time slot.
func (p *Prober) startProbes(ctx context.Context, slotMiddle time.Time) {
	for _, a := range p.planner.DueAssignments(slotMiddle, p.CurrentView(), p.IsIdle) {
		if !p.planner.ReserveServer(a) {
			p.skippedCount.Add(1)
			continue
		}
		if !p.limiter.TryAcquire(1) {
			p.skippedCount.Add(1)
			p.planner.ReleaseServer(a, 0)
			continue
		}
		p.running.Add(1)
		go p.runProbe(ctx, a)
	}
}

// runProbe executes assignment a and reports the result.
func (p *Prober) runProbe(ctx context.Context, a Assignment) {
	defer p.running.Done()
	defer p.limiter.Release(1)
	o := p.probeServer(ctx, a)
	p.planner.ReleaseServer(a, o.probeTime)
	switch {
	case o.skipped:
		p.skippedCount.Add(1)
	case ctx.Err() == nil && p.ReportResult != nil:
		p.ReportResult(o.result)
	}
}

// laterTime returns the later of a and b.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
