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
	services map[string]*service
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
	tried  *tried
}

// Avoid returns the backend servers that earlier attempts used.
func (a *Attempt) Avoid() []netip.AddrPort {
	a.tried.mu.Lock()
	defer a.tried.mu.Unlock()
	return slices.Clone(a.tried.servers)
}

// Use notes that the attempt uses server, which later attempts avoid.
func (a *Attempt) Use(server netip.AddrPort) {
	a.tried.mu.Lock()
	defer a.tried.mu.Unlock()
	a.tried.servers = append(a.tried.servers, server)
}

type tried struct {
	mu      sync.Mutex
	servers []netip.AddrPort
}

// Do makes attempts until one answers or no further one is allowed. Without an
// answer it returns the error of an unknown attempt if there was one, because
// the call may have run, else that of the last attempt. The context of the
// answering attempt stays valid until ctx is done.
func (r *Retrier[T]) Do(ctx context.Context, c *Call[T]) (T, error) {
	s := r.service(c.Service)
	limit := r.limit()
	s.begin(limit)
	x := &race[T]{call: c, service: s, limit: limit, results: make(chan result[T]), done: make(chan struct{})}
	defer close(x.done)
	start := time.Now()
	v, err := x.loop(ctx)
	if err == nil {
		s.latencies.Record(time.Since(start), time.Now())
	}
	return v, err
}

func (r *Retrier[T]) limit() *Limit {
	if r.Limit == nil {
		return nil
	}
	l := r.Limit()
	return &l
}

func (r *Retrier[T]) service(name string) *service {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		if r.services == nil {
			r.services = make(map[string]*service)
		}
		s = newService()
		r.services[name] = s
	}
	return s
}

// race holds the attempts of one call.
type race[T any] struct {
	call    *Call[T]
	service *service
	limit   *Limit
	results chan result[T]
	done    chan struct{} // Closed when results are no longer received.
	tried   tried
	number  int
	spent   int
	running []context.CancelFunc
}

type result[T any] struct {
	number int
	value  T
	err    error
}

// loop starts attempts and waits for their results.
func (x *race[T]) loop(ctx context.Context) (none T, err error) {
	x.start(ctx)
	hedge := x.timer()
	defer hedge.Stop()
	for open := 1; open > 0; {
		select {
		case <-hedge.C:
			if x.allowed(&x.service.rerun) {
				open++
				x.start(ctx)
			}
		case res := <-x.results:
			open--
			if res.err == nil {
				x.cancelOthers(res.number)
				return res.value, nil
			}
			err = worse(err, res.err)
			if ctx.Err() == nil && x.retries(res.err) {
				open++
				x.start(ctx)
			}
		}
	}
	return none, err
}

// timer fires when a hedge is due, never when the call has none.
func (x *race[T]) timer() *time.Timer {
	t := time.NewTimer(x.service.hedge(x.call.Urgent))
	if !x.call.Hedge || !x.call.Idempotent || x.limit != nil && !x.call.Urgent {
		t.Stop()
	}
	return t
}

func (x *race[T]) start(ctx context.Context) {
	x.number++
	ctx, cancel := context.WithCancel(ctx)
	x.running = append(x.running, cancel)
	a := &Attempt{Number: x.number, Budget: x.call.Budget - x.spent, tried: &x.tried}
	go x.run(ctx, a)
}

func (x *race[T]) run(ctx context.Context, a *Attempt) {
	v, err := x.call.Try(ctx, a)
	select {
	case x.results <- result[T]{a.Number, v, err}:
	case <-x.done:
		if err == nil {
			x.call.Drop(v)
		}
	}
}

// retries reports whether err allows another attempt, and spends for it.
func (x *race[T]) retries(err error) bool {
	var f *sender.Failure
	if !errors.As(err, &f) || x.call.Replay != nil && !x.call.Replay() {
		return false
	}
	if f.Outcome == sender.Rejected {
		return x.allowed(&x.service.reject)
	}
	return x.call.Idempotent && x.allowed(&x.service.rerun)
}

func (x *race[T]) allowed(b *bucket) bool {
	if x.spent >= x.call.Budget || !x.service.take(b, x.limit) {
		return false
	}
	x.spent++
	return true
}

// cancelOthers cancels all attempts but the one that answered.
func (x *race[T]) cancelOthers(number int) {
	for i, cancel := range x.running {
		if i+1 != number {
			cancel()
		}
	}
}

// worse returns the error to report of two attempts.
func worse(a, b error) error {
	var f *sender.Failure
	if errors.As(a, &f) && f.Outcome != sender.Rejected {
		return a
	}
	var g *sender.Failure
	if a != nil && !errors.As(b, &g) {
		return a // b could not be made; a says why the call failed.
	}
	return b
}
