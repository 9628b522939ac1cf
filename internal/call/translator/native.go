package translator

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// MaxDepth is the deepest call that is accepted: the deepest known is 27.
const MaxDepth = 32

// Limits of what a caller may send.
const (
	maxIdempotencyKeyBytes = 255 // Bytes.
	maxAttempt             = 1000
	maxDeadline            = 24 * time.Hour
)

// Native is the product's own form: headers with the prefix Sardine-.
type Native struct{}

var _ Dialect = Native{}

// Read returns what the headers of r say.
func (Native) Read(r *http.Request) (Hints, error) {
	m := Hints{Left: -1}
	if v := r.Header.Get("Sardine-Rank"); v != "" {
		if err := m.Rank.UnmarshalText([]byte(v)); err != nil {
			return m, errors.Wrapf(ErrHeader, "Sardine-Rank: %v", err)
		}
	}
	remaining, err := parseNumber(r, "Sardine-Deadline", -1, int(maxDeadline.Milliseconds()))
	if err != nil {
		return m, err
	}
	if remaining >= 0 {
		m.Left = time.Duration(remaining) * time.Millisecond
	}
	if m.Depth, err = parseNumber(r, "Sardine-Depth", 0, MaxDepth); err != nil {
		return m, err
	}
	if m.Attempt, err = parseNumber(r, "Sardine-Attempt", 1, maxAttempt); err != nil {
		return m, err
	}
	if m.Budget, err = parseNumber(r, "Sardine-Budget", -1, MaxDepth); err != nil {
		return m, err
	}
	return m, m.readIdempotencyKey(r)
}

func (m *Hints) readIdempotencyKey(r *http.Request) error {
	name := "Sardine-Id"
	if r.Header.Get(name) == "" {
		name = "Idempotency-Key"
	}
	m.Identity = r.Header.Get(name)
	if len(m.Identity) > maxIdempotencyKeyBytes {
		return errors.Wrapf(ErrHeader, "%s has %d bytes, more than %d", name, len(m.Identity), maxIdempotencyKeyBytes)
	}
	if len(r.Header.Values(name)) > 1 {
		return errors.Wrapf(ErrHeader, "%s occurs more than once", name)
	}
	return nil
}

// parseNumber reads a header with a value from 0 to limit, or returns preset when there is none.
func parseNumber(r *http.Request, name string, fallback, limit int) (int, error) {
	v := r.Header.Get(name)
	if v == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > limit {
		return 0, errors.Wrapf(ErrHeader, "%s: %q is not a number from 0 to %d", name, v, limit)
	}
	return n, nil
}

// Write sets the Sardine- headers of a call.
func (Native) Write(h http.Header, m Onward) {
	h.Set("Sardine-Deadline", strconv.FormatInt(m.Left.Milliseconds(), 10))
	h.Set("Sardine-Rank", m.Rank.String())
	h.Set("Sardine-Depth", strconv.Itoa(m.Depth))
	h.Set("Sardine-Budget", strconv.Itoa(m.Budget))
	h.Set("Sardine-Attempt", strconv.Itoa(m.Attempt))
	if m.Identity != "" {
		h.Set("Sardine-Id", m.Identity)
	}
}

// Signals returns refusal, drain and load of the Sardine- headers.
func (Native) Signals(status int, h http.Header) Signals {
	m := Signals{
		Refused: status == http.StatusServiceUnavailable && h.Get("Sardine-Refused") == "1",
		Drain:   h.Get("Sardine-Drain") == "1", Busy: -1,
	}
	running, _, _ := strings.Cut(h.Get("Sardine-Load"), "/")
	if n, err := strconv.Atoi(running); err == nil && n >= 0 {
		m.Busy = n
	}
	return m
}

// internalHeaders are headers that a backend server sends to this instance only, and
// those that only an instance may set.
var internalHeaders = []string{
	"Sardine-Load", "Sardine-Drain", "Sardine-Refused", "Sardine-Outcome", "Sardine-Reason", "Sardine-Instance",
}

// Mark removes the signals and adds the outcome and the instance.
func (Native) Mark(status int, h http.Header, instance string) {
	for _, name := range internalHeaders {
		h.Del(name)
	}
	if status >= http.StatusInternalServerError {
		h.Set("Sardine-Outcome", Failed.String())
	}
	if instance != "" {
		h.Set("Sardine-Instance", instance)
	}
}

// Report sets outcome, reason and Retry-After. Retry-After is spread evenly over
// After to twice After plus a second, so that callers that were rejected
// together do not return together.
func (Native) Report(h http.Header, r Report, instance string) int {
	h.Set("Sardine-Outcome", r.Outcome.String())
	h.Set("Sardine-Reason", r.Reason)
	if instance != "" {
		h.Set("Sardine-Instance", instance)
	}
	if r.Retries() {
		delay := r.After + rand.N(r.After+time.Second)
		h.Set("Retry-After", strconv.Itoa(1+int(delay.Seconds())))
	}
	return r.Status
}
