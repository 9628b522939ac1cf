package retrier_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/retrier"
)

// silentLoad makes calls with a work of 180 ms, a target of 500 ms and a deadline of
// 1,200 ms. The first attempts of some calls get no answer.
type silentLoad struct {
	retrier   retrier.Retrier[int]
	hedgeWait time.Duration // Time after which a hedge is denied.
	attempts  int
	marked    int // Attempts that were given up as silent.
	counted   int // Attempts that counted as silent at their end.
}

func (l *silentLoad) do(idempotent, silent bool) (took time.Duration, err error) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(1200*time.Millisecond))
	defer cancel()
	c := &retrier.Call[int]{
		Service: "s", Route: "r", Target: start.Add(500 * time.Millisecond), Deadline: start.Add(1200 * time.Millisecond),
		Idempotent: idempotent, Budget: 2, Hedge: idempotent, Discard: func(int) {},
	}
	c.Try = func(ctx context.Context, a *retrier.Attempt) (int, error) {
		if a.Hedge && time.Since(start) < 500*time.Millisecond {
			time.Sleep(l.hedgeWait)
			return 0, errNoSlot
		}
		l.attempts++
		sent := time.Now()
		a.MarkSent(1, func() { l.marked++ })
		if a.Number > 1 || !silent {
			time.Sleep(180 * time.Millisecond)
			return a.Number, nil
		}
		<-ctx.Done()
		if a.IsSilent(time.Since(sent)) {
			l.counted++
		}
		return 0, errUnknown
	}
	_, err = l.retrier.Do(ctx, c)
	took = time.Since(start)
	synctest.Wait()
	return took, err
}

// TestSilentRetry guards against a repeatable call without an answer and without a hedge
// that waits until its time limit, a second run of any other call, and an answer to that
// one after its time limit.
func TestSilentRetry(t *testing.T) {
	for _, tt := range []struct {
		name               string
		idempotent, silent bool
		share              float64 // Limit.Hedge.
		attempts, marked   int
		want               error
		hedgeWait          time.Duration
	}{
		{"answered", true, false, 0.5, 1, 0, nil, 0},
		{"silent read", true, true, 0.5, 2, 1, nil, 0},
		{"silent read, hedge denied late", true, true, 0.5, 2, 1, nil, 650 * time.Millisecond},
		{"silent write", false, true, 0.5, 1, 1, errUnknown, 0},
		{"silent read, no setting", true, true, 0, 1, 0, errUnknown, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := new(silentLoad)
				l.retrier.Limit = func() retrier.Limit { return retrier.Limit{Share: 0.18, Capacity: 3, Hedge: tt.share} }
				for range 30 {
					_, _ = l.do(tt.idempotent, false)
				}
				l.attempts, l.marked, l.hedgeWait = 0, 0, tt.hedgeWait
				took, err := l.do(tt.idempotent, tt.silent)
				if !errors.Is(err, tt.want) || took > 1200*time.Millisecond || l.attempts != tt.attempts || l.marked != tt.marked || l.counted != tt.marked {
					t.Errorf("got %v after %v and %d attempts, %d marked, %d counted as silent; want %v, %d, %d and %d",
						err, took, l.attempts, l.marked, l.counted, tt.want, tt.attempts, tt.marked, tt.marked)
				}
			})
		})
	}
}

// replay makes 1,000 reads, of which silentOf10 in 10 get no answer from the first server,
// and returns the number of reads that were answered.
func (l *silentLoad) replay(t *testing.T, silentOf10 int) (answered int) {
	t.Helper()
	for range 30 {
		_, _ = l.do(true, false)
	}
	l.attempts = 0
	for i := range 1000 {
		took, err := l.do(true, i%10 < silentOf10)
		if err == nil {
			answered++
		}
		if took > 1200*time.Millisecond {
			t.Errorf("got an answer after %v, want one within 1200 ms", took)
		}
	}
	return answered
}

// TestSilentShare replays reads of which some get no answer from the first server, as if a
// tenth, a half or all servers of a pool were silent. It guards against extra attempts
// beyond the limit, and against answers that take longer than the deadline allows.
func TestSilentShare(t *testing.T) {
	for _, tt := range []struct {
		silentOf10, minAnswered int // Of 1,000 calls.
	}{{1, 990}, {5, 650}, {10, 150}} {
		synctest.Test(t, func(t *testing.T) {
			l := new(silentLoad)
			l.retrier.Limit = func() retrier.Limit { return retrier.Limit{Share: 0.18, Capacity: 3, Hedge: 0.5} }
			answered := l.replay(t, tt.silentOf10)
			extra := l.attempts - 1000
			t.Logf("%d in 10 silent: %d of 1000 answered with %d retries", tt.silentOf10, answered, extra)
			if answered < tt.minAnswered || extra > 183 {
				t.Errorf("%d in 10 silent: got %d answered with %d retries, want at least %d with at most 183", tt.silentOf10, answered, extra, tt.minAnswered)
			}
		})
	}
}
