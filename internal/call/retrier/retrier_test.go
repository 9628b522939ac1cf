package retrier_test

import (
	"context"
	"io"
	"net/netip"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/retrier"
	"sardinelever.example/sardinelever/internal/call/sender"
)

var (
	errUnknown  = &sender.Failure{Outcome: sender.Unknown, Reason: "read"}
	errRejected = &sender.Failure{Outcome: sender.Rejected, Reason: "refused"}
	errNoSlot   = errors.New("no slot")
)

func serverAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(n))
}

// TestRetryPolicy guards against a retry of a non-idempotent call that may have
// run, a missing retry of a call that did not run, and an error of the wrong
// attempt: after an unknown attempt the outcome of the call is unknown.
func TestRetryPolicy(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		budget     int
		replay     bool
		errs       []error // Errors of the first attempts; the attempt after them answers.
		attempts   int
		want       error
	}{
		{"answered", false, 1, true, nil, 1, nil},
		{"rejected", false, 1, true, []error{errRejected}, 2, nil},
		{"rejected without budget", false, 0, true, []error{errRejected}, 1, errRejected},
		{"rejected twice", false, 1, true, []error{errRejected, errRejected}, 2, errRejected},
		{"rejected thrice", false, 3, true, []error{errRejected, errRejected, errRejected}, 4, nil},
		{"rejected, body lost", false, 1, false, []error{errRejected}, 1, errRejected},
		{"unknown", false, 1, true, []error{errUnknown}, 1, errUnknown},
		{"unknown, idempotent", true, 1, true, []error{errUnknown}, 2, nil},
		{"unknown, then rejected", true, 2, true, []error{errUnknown, errRejected, errNoSlot}, 3, errUnknown},
		{"rejected, then no slot", false, 2, true, []error{errRejected, errNoSlot}, 2, errRejected},
		{"no slot", true, 2, true, []error{errNoSlot}, 1, errNoSlot},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			attempts := 0
			c := &retrier.Call[int]{Idempotent: tt.idempotent, Budget: tt.budget, CanReplay: func() bool { return tt.replay }}
			c.Try = func(_ context.Context, a *retrier.Attempt) (int, error) {
				attempts++
				if got := len(a.UsedServers()); got != attempts-1 || a.Number != attempts || a.Budget != tt.budget-attempts+1 {
					t.Errorf("got attempt %+v with %d used servers, want number %d", a, got, attempts)
				}
				a.AddServer(serverAddr(attempts))
				if attempts <= len(tt.errs) {
					return 0, tt.errs[attempts-1]
				}
				return 7, nil
			}
			v, err := new(retrier.Retrier[int]).Do(t.Context(), c)
			if !errors.Is(err, tt.want) || err == nil && v != 7 || attempts != tt.attempts {
				t.Errorf("got %d, %v after %d attempts, want %v after %d", v, err, attempts, tt.want, tt.attempts)
			}
		})
	}
}

// TestNestedCallAttempts guards against attempts that multiply from level to
// level when each level of nested calls retries.
func TestNestedCallAttempts(t *testing.T) {
	const levels = 27
	var retriers [levels]retrier.Retrier[int]
	attempts := 0
	var call func(level, budget int) error
	call = func(level, budget int) error {
		if level == levels {
			return nil
		}
		_, err := retriers[level].Do(t.Context(), &retrier.Call[int]{Idempotent: true, Budget: budget, Try: func(_ context.Context, a *retrier.Attempt) (int, error) {
			attempts++
			_ = call(level+1, a.Budget)
			return 0, errUnknown
		}})
		return err
	}
	if err := call(0, 1); !errors.Is(err, errUnknown) {
		t.Errorf("got %v, want %v", err, errUnknown)
	}
	if limit := levels * (levels + 3) / 2; attempts > limit || attempts <= levels {
		t.Errorf("got %d attempts, want more than %d and at most %d", attempts, levels, limit)
	}
}

// TestRetryShare guards against retries that multiply the load of a service whose
// calls all fail: they stay within a fixed share of its calls.
func TestRetryShare(t *testing.T) {
	for err, limit := range map[error]int{errUnknown: 1060, errRejected: 1210} {
		var r retrier.Retrier[int]
		attempts := 0
		for range 1000 {
			_, _ = r.Do(t.Context(), &retrier.Call[int]{Idempotent: true, Budget: 5, Try: func(context.Context, *retrier.Attempt) (int, error) {
				attempts++
				return 0, err
			}})
		}
		if attempts > limit || attempts < 1040 {
			t.Errorf("%v: got %d attempts for 1000 calls, want 1040 to %d", err, attempts, limit)
		}
	}
}

// TestHedge guards against a call that keeps waiting for a backend server that
// does not answer, and against a slower attempt that is not cancelled or whose
// answer is not dropped.
func TestHedge(t *testing.T) {
	var r retrier.Retrier[int]
	cancelled, dropped := make(chan bool), make(chan int, 1)
	silent := false
	c := &retrier.Call[int]{Idempotent: true, Urgent: true, Budget: 1, Discard: func(v int) { dropped <- v }}
	c.Try = func(ctx context.Context, a *retrier.Attempt) (int, error) {
		if silent && a.Number == 1 {
			<-ctx.Done()
			close(cancelled)
		}
		return a.Number, nil
	}
	for range 200 { // Enough latencies for a percentile.
		if _, err := r.Do(t.Context(), c); err != nil {
			t.Fatal(err)
		}
	}
	silent, c.Hedge = true, true
	if v, err := r.Do(t.Context(), c); v != 2 || err != nil {
		t.Errorf("got attempt %d, %v, want 2", v, err)
	}
	<-cancelled
	if got := <-dropped; got != 1 {
		t.Errorf("got dropped answer of attempt %d, want 1", got)
	}
}

// TestBodyReplay guards against a retry that sends only a part of the body, when
// the attempt before it has read some of it or the body is too large to buffer.
func TestBodyReplay(t *testing.T) {
	b := &retrier.Body{Source: strings.NewReader(strings.Repeat("0123456789", 2000))}
	first, _ := b.NewReader()
	_, _ = io.ReadFull(first, make([]byte, 5000))
	second, ok := b.NewReader()
	text, err := io.ReadAll(second)
	if !ok || err != nil || len(text) != 20000 || string(text[4995:5005]) != "5678901234" {
		t.Errorf("got %d bytes, %v, want the whole body", len(text), err)
	}
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("got bytes from a replaced reader, want an error")
	}
	b = &retrier.Body{Source: strings.NewReader(strings.Repeat("0", retrier.MaxReplayBytes+1))}
	first, _ = b.NewReader()
	if text, err := io.ReadAll(first); len(text) != retrier.MaxReplayBytes+1 || err != nil {
		t.Errorf("got %d bytes, %v, want all", len(text), err)
	}
	if _, ok := b.NewReader(); ok || b.CanReplay() {
		t.Error("got another reader of a large body, want none")
	}
}

// TestBodyReplacedReaderWaits guards against lost bytes when the reader of an
// earlier attempt is still blocked in a read from the source: the bytes that
// this read returns belong to the reader of the next attempt.
func TestBodyReplacedReaderWaits(t *testing.T) {
	r, w := io.Pipe()
	b := &retrier.Body{Source: r}
	first, _ := b.NewReader()
	consumer := &bodyConsumer{body: first, started: make(chan bool), ended: make(chan bool)}
	go consumer.readAll()
	<-consumer.started
	second, _ := b.NewReader()
	writer := &bodyWriter{pipe: w, text: "whole"}
	go writer.writeAll()
	if text, err := io.ReadAll(second); string(text) != "whole" || err != nil {
		t.Errorf("got %q, %v, want whole", text, err)
	}
	<-consumer.ended
}

// bodyConsumer reads a body to its end.
type bodyConsumer struct {
	body           io.Reader
	started, ended chan bool
}

func (c *bodyConsumer) readAll() {
	close(c.started)
	_, _ = io.ReadAll(c.body)
	close(c.ended)
}

// bodyWriter writes a body to a pipe.
type bodyWriter struct {
	pipe *io.PipeWriter
	text string
}

func (w *bodyWriter) writeAll() {
	_, _ = io.WriteString(w.pipe, w.text)
	_ = w.pipe.Close()
}

// TestExtraAttemptLimit guards against more extra attempts than a Limit allows:
// its capacity, because the bucket is full at the start, plus its share of the
// calls.
func TestExtraAttemptLimit(t *testing.T) {
	r := &retrier.Retrier[int]{Limit: func() retrier.Limit { return retrier.Limit{Share: 0.2, Capacity: 3} }}
	attempts := 0
	c := &retrier.Call[int]{Service: "s", Idempotent: true, Budget: 5}
	c.Try = func(context.Context, *retrier.Attempt) (int, error) { attempts++; return 0, errRejected }
	const calls = 100
	for range calls {
		_, _ = r.Do(t.Context(), c)
	}
	if got, maxExtra := attempts-calls, 3+calls/5; got > maxExtra || got < maxExtra-2 {
		t.Errorf("got %d extra attempts for %d calls, want at most %d and nearly as many", got, calls, maxExtra)
	}
}

// TestSmallLimit guards against a fleet whose instances each send a repeat although all of them
// together may send fewer, or none, and against one without repeats although its calls allow
// some.
func TestSmallLimit(t *testing.T) {
	const calls = 100
	for _, tt := range []struct {
		limit    retrier.Limit
		min, max int // Extra attempts.
	}{
		{retrier.Limit{}, 0, 0},
		{retrier.Limit{Share: 0.2}, 17, 20},
		{retrier.Limit{Capacity: 0.9}, 0, 0},
		{retrier.Limit{Share: 0.2, Capacity: 0.5}, 17, 20},
		{retrier.Limit{Capacity: 1}, 1, 1},
		{retrier.Limit{Share: 1.5, Capacity: 0.5}, 99, 100},
	} {
		r, attempts := &retrier.Retrier[int]{Limit: func() retrier.Limit { return tt.limit }}, 0
		c := &retrier.Call[int]{Service: "s", Idempotent: true, Budget: 1}
		c.Try = func(context.Context, *retrier.Attempt) (int, error) { attempts++; return 0, errRejected }
		for range calls {
			_, _ = r.Do(t.Context(), c)
		}
		if got := attempts - calls; got < tt.min || got > tt.max {
			t.Errorf("%+v: got %d extra attempts for %d calls, want %d to %d", tt.limit, got, calls, tt.min, tt.max)
		}
	}
}
