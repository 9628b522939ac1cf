package retrier

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/flow/recoverer"
)

// Retrier makes the attempts of calls whose answers have type T and keeps the
// token buckets of their services. The zero value is ready to use.
type Retrier[T any] struct {
	// Limit returns the limit of all extra attempts of a service. When it is
	// nil, retries of rejected attempts have one limit, and retries of unknown
	// attempts and hedges another. It is set before the first call.
	Limit func() Limit

	mu       sync.Mutex
	services map[string]*serviceState
}

// Call describes a call: how to make an attempt and which extra attempts are
// allowed.
type Call[T any] struct {
	Service    string
	Route      string    // Calls of one route take about the same time.
	Deadline   time.Time // Time by which the call must have ended; with a Limit, a silent call without it is not retried.
	Target     time.Time // Time by which the caller prefers an answer; with a Limit, a call without it is not hedged.
	Idempotent bool
	Urgent     bool
	Budget     int         // Extra attempts left for the call and all calls below it.
	CanReplay  func() bool // Reports, before a retry, whether the body can be sent again.
	Hedge      bool        // Allows a hedge. The call must have no body, because a body can be sent by one attempt at a time.
	// OnHedge is called for the events of a hedge when there is a Limit; nil means that
	// nothing is called.
	OnHedge func(HedgeEvent)
	// Try makes one attempt. A *sender.Failure means that the attempt failed; any
	// other error means that no attempt could be made, and no retry follows.
	Try func(ctx context.Context, a *Attempt) (T, error)
	// Discard releases an answer that is not used because another attempt answered
	// first.
	Discard func(T)
}

// Attempt is one attempt of a call.
type Attempt struct {
	Number int // Starts at 1.
	Budget int // Extra attempts that the call and all calls below this attempt may still use.
	// Overlaps is set for an attempt that starts while another one runs. Its answer must
	// not be a server error, so that it never makes a call fail that the other attempt
	// answers.
	Overlaps bool
	Hedge    bool // Set for an attempt that must not wait for a slot; Overlaps is set too.
	used     *usedServers
	onSent   func(sentReport)

	silentAfter atomic.Int64 // Nanoseconds; 0 when unknown.

	// Used by awaitAnswer alone.
	silentRetry bool      // Set for an attempt that was started because another one is silent.
	sentAt      time.Time // Set after MarkSent, like the following fields.
	slowdown    float64
	onSilent    func()
}

// MarkSent reports that the attempt is now sent to a backend server with the reported
// slowdown, 0 when unknown. onSilent is called if the attempt is given up as silent
// although it goes on; it may be nil.
func (a *Attempt) MarkSent(slowdown float64, onSilent func()) {
	if a.onSent != nil {
		a.onSent(sentReport{a, time.Now(), slowdown, onSilent})
	}
}

// IsSilent reports whether an attempt that got no answer for elapsed counts as silent: it
// should have been answered long before.
func (a *Attempt) IsSilent(elapsed time.Duration) bool {
	after := time.Duration(a.silentAfter.Load())
	return after > 0 && elapsed >= after
}

// UsedServers returns the backend servers that attempts of the call have used.
func (a *Attempt) UsedServers() []netip.AddrPort {
	a.used.mu.Lock()
	defer a.used.mu.Unlock()
	return slices.Clone(a.used.addrs)
}

// AddServer records that the attempt uses server, so that UsedServers returns it
// to later attempts.
func (a *Attempt) AddServer(server netip.AddrPort) {
	a.used.mu.Lock()
	defer a.used.mu.Unlock()
	a.used.addrs = append(a.used.addrs, server)
}

// usedServers holds the backend servers that the attempts of a call have used.
type usedServers struct {
	mu    sync.Mutex
	addrs []netip.AddrPort
}

// Do makes attempts until one answers or no further one is allowed, and returns
// the answer. If all attempts failed, it returns the error of an unknown attempt
// if there was one, because the call may have run, and otherwise the error of
// the last attempt that was made. The context of the attempt that answered stays
// valid until ctx is done.
func (r *Retrier[T]) Do(ctx context.Context, c *Call[T]) (T, error) {
	s := r.serviceState(c.Service)
	limit := r.currentLimit()
	s.refillBuckets(limit)
	g := &attemptGroup[T]{call: c, service: s, limit: limit, results: make(chan result[T]), sent: make(chan sentReport), done: make(chan struct{})}
	defer close(g.done)
	start := time.Now()
	v, err := g.awaitAnswer(ctx)
	if err == nil {
		s.latencies.Record(time.Since(start), time.Now())
	}
	return v, err
}

func (r *Retrier[T]) currentLimit() *Limit {
	if r.Limit == nil {
		return nil
	}
	l := r.Limit()
	return &l
}

func (r *Retrier[T]) serviceState(name string) *serviceState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		if r.services == nil {
			r.services = make(map[string]*serviceState)
		}
		s = newServiceState()
		r.services[name] = s
	}
	return s
}

// attemptGroup holds the state of one call and its attempts.
type attemptGroup[T any] struct {
	call          *Call[T]
	service       *serviceState
	limit         *Limit
	results       chan result[T]
	sent          chan sentReport
	done          chan struct{} // Closed when results and sent are no longer received.
	used          usedServers
	lastNumber    int                  // Number of the attempt started last.
	extraAttempts int                  // Attempts after the first; each has spent one unit of the budget.
	cancels       []context.CancelFunc // cancels[i] cancels attempt i+1.
	running       int                  // Attempts that have not ended.
	primary       *Attempt             // Last attempt that was sent and is no hedge; only with a Limit.
	hedged        bool                 // With a Limit, the call is hedged once.
	hedgeTimer    *time.Timer
	silentTimer   *time.Timer
	silentDue     bool // primary is silent and no retry has followed.
}

// result is the result of an attempt.
type result[T any] struct {
	attempt *Attempt
	value   T
	err     error
}

// awaitAnswer starts the attempts and returns the first answer, or the error to
// report when all failed.
func (g *attemptGroup[T]) awaitAnswer(ctx context.Context) (zero T, err error) {
	g.startAttempt(ctx, false)
	hedgeTimer := g.newHedgeTimer()
	defer hedgeTimer.Stop()
	g.hedgeTimer, g.silentTimer = hedgeTimer, newStoppedTimer()
	defer g.silentTimer.Stop()
	var last error // Error of the attempt that failed last.
	for g.running > 0 {
		select {
		case <-hedgeTimer.C:
			if g.acquireHedge() {
				g.startAttempt(ctx, true)
			}
		case s := <-g.sent:
			g.handleSent(s)
		case <-g.silentTimer.C:
			g.handleSilence(ctx)
		case res := <-g.results:
			g.running--
			if res.err == nil {
				g.recordAnswer(res.attempt)
				g.cancelOthers(res.attempt.Number)
				return res.value, nil
			}
			if g.isUnsentHedge(res.attempt) {
				g.releaseHedge(res.attempt)
			} else {
				err, last = errorToReport(err, res.err), res.err
			}
			switch {
			case ctx.Err() != nil:
			case g.mayRetryNow(res.attempt) && g.acquireRetry(last):
				g.startAttempt(ctx, false)
			default:
				g.retrySilent(ctx)
			}
		}
	}
	return zero, err
}

// newHedgeTimer returns a timer that fires when a hedge is due. For a call that
// is not hedged, the timer is stopped.
func (g *attemptGroup[T]) newHedgeTimer() *time.Timer {
	t := time.NewTimer(g.service.hedgeDelay(g.call.Urgent))
	if !g.call.Hedge || !g.call.Idempotent || g.limit != nil {
		t.Stop() // With a Limit, handleSent starts it.
	}
	return t
}

// startAttempt starts the next attempt in a goroutine of its own.
func (g *attemptGroup[T]) startAttempt(ctx context.Context, hedge bool) *Attempt {
	g.lastNumber++
	g.running++
	ctx, cancel := context.WithCancel(ctx)
	g.cancels = append(g.cancels, cancel)
	a := &Attempt{Number: g.lastNumber, Budget: g.call.Budget - g.extraAttempts, used: &g.used}
	if g.limit != nil {
		a.Hedge, a.Overlaps, a.onSent = hedge, g.running > 1, g.reportSent
	}
	go g.runAttempt(ctx, a)
	return a
}

// runAttempt makes attempt a and delivers its result to awaitAnswer. An answer
// that is no longer received is discarded.
func (g *attemptGroup[T]) runAttempt(ctx context.Context, a *Attempt) {
	v, err := g.tryAttempt(ctx, a)
	select {
	case g.results <- result[T]{a, v, err}:
	case <-g.done:
		if err == nil {
			g.call.Discard(v)
		}
	}
}

// tryAttempt makes attempt a. After a panic the call may have run.
func (g *attemptGroup[T]) tryAttempt(ctx context.Context, a *Attempt) (v T, err error) {
	defer recoverer.Catch("attempt of a call", func() { err = &sender.Failure{Outcome: sender.Unknown, Reason: "panic"} })
	return g.call.Try(ctx, a)
}

// acquireRetry reports whether the call may be retried after err; if so, it
// takes a token and one unit of the budget.
func (g *attemptGroup[T]) acquireRetry(err error) bool {
	var f *sender.Failure
	if !errors.As(err, &f) || g.call.CanReplay != nil && !g.call.CanReplay() {
		return false
	}
	if f.Outcome == sender.Rejected {
		return g.acquireAttempt(&g.service.rejectedRetries)
	}
	return g.call.Idempotent && g.acquireAttempt(&g.service.reruns)
}

// acquireAttempt takes a token of b and one unit of the budget for an extra
// attempt; it returns false when either is used up.
func (g *attemptGroup[T]) acquireAttempt(b *bucket) bool {
	if g.extraAttempts >= g.call.Budget || !g.service.takeToken(b, g.limit) {
		return false
	}
	g.extraAttempts++
	return true
}

// cancelOthers cancels all attempts except the one that answered.
func (g *attemptGroup[T]) cancelOthers(number int) {
	for i, cancel := range g.cancels {
		if i+1 != number {
			cancel()
		}
	}
}

// errorToReport returns which of two errors of a call is reported: earlier, the
// one chosen so far, or later, that of a further attempt.
func errorToReport(earlier, later error) error {
	var earlierFailure *sender.Failure
	if errors.As(earlier, &earlierFailure) && earlierFailure.Outcome != sender.Rejected {
		return earlier
	}
	var laterFailure *sender.Failure
	if earlier != nil && !errors.As(later, &laterFailure) {
		return earlier // The later attempt could not be made; earlier says why the call failed.
	}
	return later
}
