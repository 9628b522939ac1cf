package retrier

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/sender"
)

// Retrier sends calls with answers of type T; the zero value is ready to use.
type Retrier[T any] struct {
	// Limit returns the bound of all repeats of a service; nil means separate
	// bounds for attempts that may have run and those that did not. Set before the first call.
	Limit func() Limit

	mu       sync.Mutex
	services map[string]*serviceState
}

// Call is what decides about further attempts.
type Call[T any] struct {
	Service    string
	Idempotent bool
	Urgent     bool
	Budget     int         // Extra attempts left for the call and all calls below it.
	Replay     func() bool // Reports, before a retry, whether the body can be sent again.
	Hedge      bool        // The call has no body, so two attempts may run at a time.
	// Try makes one attempt. Its error is a *sender.Failure when the attempt
	// failed; any other error means that no attempt could be made.
	Try func(ctx context.Context, a *Attempt) (T, error)
	// Drop disposes of an answer that is not used.
	Drop func(T)
}

// Attempt is one attempt of a call.
type Attempt struct {
	Number int // Starts at 1.
	Budget int // Extra attempts left for the calls below it.
	used   *usedServers
}

// Avoid returns the backend servers that earlier attempts used.
func (a *Attempt) Avoid() []netip.AddrPort {
	a.used.mu.Lock()
	defer a.used.mu.Unlock()
	return slices.Clone(a.used.addrs)
}

// Use notes that the attempt uses server, which later attempts avoid.
func (a *Attempt) Use(server netip.AddrPort) {
	a.used.mu.Lock()
	defer a.used.mu.Unlock()
	a.used.addrs = append(a.used.addrs, server)
}

type usedServers struct {
	mu    sync.Mutex
	addrs []netip.AddrPort
}

// Do makes attempts until one answers or no further one is allowed. Without an
// answer it returns the error of an unknown attempt if there was one, because
// the call may have run, else that of the last attempt. The context of the
// answering attempt stays valid until ctx is done.
func (r *Retrier[T]) Do(ctx context.Context, c *Call[T]) (T, error) {
	s := r.serviceState(c.Service)
	limit := r.currentLimit()
	s.refillBuckets(limit)
	g := &attemptGroup[T]{call: c, service: s, limit: limit, results: make(chan result[T]), done: make(chan struct{})}
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

// attemptGroup holds the attempts of one call.
type attemptGroup[T any] struct {
	call          *Call[T]
	service       *serviceState
	limit         *Limit
	results       chan result[T]
	done          chan struct{} // Closed when results are no longer received.
	used          usedServers
	lastNumber    int
	extraAttempts int
	cancels       []context.CancelFunc
}

type result[T any] struct {
	number int
	value  T
	err    error
}

// awaitAnswer starts attempts and waits for their results.
func (g *attemptGroup[T]) awaitAnswer(ctx context.Context) (zero T, err error) {
	g.startAttempt(ctx)
	hedgeTimer := g.newHedgeTimer()
	defer hedgeTimer.Stop()
	for running := 1; running > 0; {
		select {
		case <-hedgeTimer.C:
			if g.acquireAttempt(&g.service.reruns) {
				running++
				g.startAttempt(ctx)
			}
		case res := <-g.results:
			running--
			if res.err == nil {
				g.cancelOthers(res.number)
				return res.value, nil
			}
			err = errorToReport(err, res.err)
			if ctx.Err() == nil && g.acquireRetry(res.err) {
				running++
				g.startAttempt(ctx)
			}
		}
	}
	return zero, err
}

// newHedgeTimer fires when a hedge is due, never when the call has none.
func (g *attemptGroup[T]) newHedgeTimer() *time.Timer {
	t := time.NewTimer(g.service.hedgeDelay(g.call.Urgent))
	if !g.call.Hedge || !g.call.Idempotent || g.limit != nil && !g.call.Urgent {
		t.Stop()
	}
	return t
}

func (g *attemptGroup[T]) startAttempt(ctx context.Context) {
	g.lastNumber++
	ctx, cancel := context.WithCancel(ctx)
	g.cancels = append(g.cancels, cancel)
	a := &Attempt{Number: g.lastNumber, Budget: g.call.Budget - g.extraAttempts, used: &g.used}
	go g.runAttempt(ctx, a)
}

func (g *attemptGroup[T]) runAttempt(ctx context.Context, a *Attempt) {
	v, err := g.call.Try(ctx, a)
	select {
	case g.results <- result[T]{a.Number, v, err}:
	case <-g.done:
		if err == nil {
			g.call.Drop(v)
		}
	}
}

// acquireRetry reports whether err allows another attempt, and spends for it.
func (g *attemptGroup[T]) acquireRetry(err error) bool {
	var f *sender.Failure
	if !errors.As(err, &f) || g.call.Replay != nil && !g.call.Replay() {
		return false
	}
	if f.Outcome == sender.Rejected {
		return g.acquireAttempt(&g.service.rejectedRetries)
	}
	return g.call.Idempotent && g.acquireAttempt(&g.service.reruns)
}

func (g *attemptGroup[T]) acquireAttempt(b *bucket) bool {
	if g.extraAttempts >= g.call.Budget || !g.service.takeToken(b, g.limit) {
		return false
	}
	g.extraAttempts++
	return true
}

// cancelOthers cancels all attempts but the one that answered.
func (g *attemptGroup[T]) cancelOthers(number int) {
	for i, cancel := range g.cancels {
		if i+1 != number {
			cancel()
		}
	}
}

// errorToReport returns the error to report of two attempts.
func errorToReport(earlier, later error) error {
	var f *sender.Failure
	if errors.As(earlier, &f) && f.Outcome != sender.Rejected {
		return earlier
	}
	var g *sender.Failure
	if earlier != nil && !errors.As(later, &g) {
		return earlier // b could not be made; a says why the call failed.
	}
	return later
}
