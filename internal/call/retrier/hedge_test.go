package retrier_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/retrier"
)

// hedgedLimit allows hedges to use half of the extra attempts.
func hedgedLimit(capacity float64) func() retrier.Limit {
	return func() retrier.Limit { return retrier.Limit{Share: 0.18, Capacity: capacity, Hedge: 0.5} }
}

// TestHedgeTime guards against a hedge that cannot answer before the target, one that
// most ordinary calls would get, and a late one although the server is known to be slow.
func TestHedgeTime(t *testing.T) {
	var w retrier.RouteWork
	start := time.Unix(1000, 0)
	if _, ok := w.HedgeTime(retrier.SentAttempt{SentAt: start, Target: start.Add(time.Second)}); ok {
		t.Error("route without calls: got a hedge, want none")
	}
	for i := range 100 {
		w.Record(time.Duration(70+60*i/99)*time.Millisecond, 0) // 70 to 130 ms.
	}
	for i := range 10 {
		w.Record(700*time.Millisecond, float64(i%2*7)) // Half of them on slow servers, so of usual work.
	}
	for _, tt := range []struct {
		name     string
		target   time.Duration
		slowdown float64
		want     time.Duration // 0 means no hedge.
	}{
		{"much time", time.Second, 0, 140 * time.Millisecond},
		{"bounded by the target", 215 * time.Millisecond, 1, 125 * time.Millisecond},
		{"no time for a second run", 190 * time.Millisecond, 1, 0},
		{"slow server that meets the target", time.Second, 2, 280 * time.Millisecond},
		{"slow server that misses the target", 500 * time.Millisecond, 7, 50 * time.Millisecond},
	} {
		at, ok := w.HedgeTime(retrier.SentAttempt{SentAt: start, Target: start.Add(tt.target), Slowdown: tt.slowdown})
		if got := at.Sub(start); ok != (tt.want > 0) || ok && (got-tt.want).Abs() > 5*time.Millisecond {
			t.Errorf("%s: got a hedge after %v, %v, want %v", tt.name, got, ok, tt.want)
		}
	}
}

// hedgeLoad replays calls with a work of 180 ms and a target of 500 ms on servers of
// which 3 in 100 runs take 7 times their work, and 3 in 100 servers turn out to be 7
// times slower although their report said otherwise.
type hedgeLoad struct {
	retrier retrier.Retrier[int]
	deny    bool // No slot is free for hedges.

	mu                    sync.Mutex
	rng                   *rand.Rand
	calls, late, attempts int
}

func (l *hedgeLoad) run(calls int) {
	var done sync.WaitGroup
	for range calls {
		done.Go(l.call)
		time.Sleep(20 * time.Millisecond)
	}
	done.Wait()
}

func (l *hedgeLoad) call() {
	start := time.Now()
	_, err := l.retrier.Do(context.Background(), &retrier.Call[int]{
		Service: "s", Route: "r", Target: start.Add(500 * time.Millisecond), Idempotent: true, Budget: 2, Hedge: true, Try: l.try, Discard: func(int) {},
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if err != nil || time.Since(start) > 500*time.Millisecond {
		l.late++
	}
}

func (l *hedgeLoad) try(ctx context.Context, a *retrier.Attempt) (int, error) {
	if a.Hedge && l.deny {
		return 0, errNoSlot
	}
	l.mu.Lock()
	l.attempts++
	work := time.Duration((0.65 + 0.7*l.rng.Float64()) * float64(180*time.Millisecond))
	if l.rng.Float64() < 0.03 {
		work *= 7
	}
	if l.rng.Float64() < 0.03 {
		work *= 7
	}
	l.mu.Unlock()
	a.MarkSent(1, nil)
	select {
	case <-time.After(work):
		return a.Number, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// TestHedgedLoad guards against reads that are late because single runs take several
// times their work, and against hedges beyond their share of the limit.
func TestHedgedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 3000
		hedged := &hedgeLoad{rng: rand.New(rand.NewPCG(1, 1))}
		hedged.retrier.Limit = hedgedLimit(3)
		hedged.run(calls)
		plain := &hedgeLoad{rng: rand.New(rand.NewPCG(1, 1))}
		plain.retrier.Limit = func() retrier.Limit { return retrier.Limit{Share: 0.18, Capacity: 3} }
		plain.run(calls)
		if plain.attempts != calls || plain.late < calls*4/100 {
			t.Fatalf("without hedges: got %d attempts, %d late, want %d and more than 4 in 100", plain.attempts, plain.late, calls)
		}
		if extra := hedged.attempts - calls; extra == 0 || extra > calls*9/100+3 {
			t.Errorf("got %d hedges, want 1 to 9 in 100 calls", extra)
		}
		if 3*hedged.late > plain.late {
			t.Errorf("got %d late calls with hedges and %d without, want less than a third", hedged.late, plain.late)
		}
		t.Logf("late in %d calls: %d with %d hedges, %d without", calls, hedged.late, hedged.attempts-calls, plain.late)
	})
}

// hedgeCase is a call whose first attempt and hedge end as a test chooses.
type hedgeCase struct {
	t                  *testing.T
	retrier            retrier.Retrier[int]
	events             map[retrier.HedgeEvent]int
	hedgeErr, firstErr error
	firstTook          time.Duration
}

func (h *hedgeCase) do() (int, error) {
	return h.retrier.Do(h.t.Context(), &retrier.Call[int]{
		Idempotent: true, Budget: 1, Hedge: true, Target: time.Now().Add(time.Second), Try: h.try,
		OnHedge: func(e retrier.HedgeEvent) { h.events[e]++ },
	})
}

func (h *hedgeCase) try(_ context.Context, a *retrier.Attempt) (int, error) {
	if a.Hedge && h.hedgeErr == errNoSlot {
		return 0, errNoSlot
	}
	a.MarkSent(0, nil)
	switch {
	case a.Hedge:
		return a.Number, h.hedgeErr
	case a.Number == 1:
		time.Sleep(h.firstTook)
		return a.Number, h.firstErr
	}
	return a.Number, nil
}

// TestDeniedHedge guards against a hedge without a slot that uses up the retry of its
// call or a token, and against an error of a hedge that ends a call that is answered.
func TestDeniedHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &hedgeCase{t: t, events: make(map[retrier.HedgeEvent]int)}
		h.retrier.Limit = hedgedLimit(1)
		usual := func() {
			h.firstTook, h.firstErr = 100*time.Millisecond, nil
			for range 30 {
				_, _ = h.do()
			}
			h.firstTook = 200 * time.Millisecond
		}
		usual()
		h.hedgeErr, h.firstErr = errNoSlot, errUnknown
		if n, err := h.do(); n != 2 || err != nil || h.events[retrier.HedgeDenied] != 1 {
			t.Errorf("got attempt %d, %v, events %v; want attempt 2 after a denied hedge", n, err, h.events)
		}
		usual()
		h.hedgeErr = errUnknown
		if n, err := h.do(); n != 1 || err != nil || h.events[retrier.HedgeSent] != 1 {
			t.Errorf("got attempt %d, %v, events %v; want attempt 1 after a hedge that failed", n, err, h.events)
		}
		h.firstErr = errRejected
		if _, err := h.do(); !errors.Is(err, errRejected) || h.events[retrier.HedgeUnfunded] != 1 {
			t.Errorf("got %v, events %v; want no hedge and no retry without a token", err, h.events)
		}
	})
}
