package translator

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// MaxCallDepth is the largest depth of a call that is accepted; the deepest known
// chain of calls has 27.
const MaxCallDepth = 32

// Limits of the values that a caller may send.
const (
	maxIdempotencyKeyBytes = 255
	maxAttempt             = 1000
	maxDeadline            = 24 * time.Hour
)

// Native is the dialect of this product: headers with the prefix Sardine-.
type Native struct{}

var _ Dialect = Native{}

// ParseRequest returns the parameters of the call in the headers of r.
func (Native) ParseRequest(r *http.Request) (RequestMetadata, error) {
	m := RequestMetadata{Remaining: -1}
	if v := r.Header.Get("Sardine-Rank"); v != "" {
		if err := m.Rank.UnmarshalText([]byte(v)); err != nil {
			return m, errors.Wrapf(ErrInvalidHeader, "Sardine-Rank: %v", err)
		}
	}
	remaining, err := parseNumber(r, "Sardine-Deadline", -1, int(maxDeadline.Milliseconds()))
	if err != nil {
		return m, err
	}
	if remaining >= 0 {
		m.Remaining = time.Duration(remaining) * time.Millisecond
	}
	if m.Depth, err = parseNumber(r, "Sardine-Depth", 0, MaxCallDepth); err != nil {
		return m, err
	}
	if m.Attempt, err = parseNumber(r, "Sardine-Attempt", 1, maxAttempt); err != nil {
		return m, err
	}
	if m.RetryBudget, err = parseNumber(r, "Sardine-Budget", -1, MaxCallDepth); err != nil {
		return m, err
	}
	return m, m.readIdempotencyKey(r)
}

// readIdempotencyKey reads the key from Sardine-Id or else from Idempotency-Key.
func (m *RequestMetadata) readIdempotencyKey(r *http.Request) error {
	name := "Sardine-Id"
	if r.Header.Get(name) == "" {
		name = "Idempotency-Key"
	}
	m.IdempotencyKey = r.Header.Get(name)
	if len(m.IdempotencyKey) > maxIdempotencyKeyBytes {
		return errors.Wrapf(ErrInvalidHeader, "%s has %d bytes, more than %d", name, len(m.IdempotencyKey), maxIdempotencyKeyBytes)
	}
	if len(r.Header.Values(name)) > 1 {
		return errors.Wrapf(ErrInvalidHeader, "%s occurs more than once", name)
	}
	return nil
}

// parseNumber returns the value of a header, which must be from 0 to limit, or
// fallback when the header is absent or empty.
func parseNumber(r *http.Request, name string, fallback, limit int) (int, error) {
	v := r.Header.Get(name)
	if v == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > limit {
		return 0, errors.Wrapf(ErrInvalidHeader, "%s: %q is not a number from 0 to %d", name, v, limit)
	}
	return n, nil
}

// SetRequestHeaders sets the Sardine- headers of a request to a backend server.
func (Native) SetRequestHeaders(h http.Header, m ForwardMetadata) {
	h.Set("Sardine-Deadline", strconv.FormatInt(m.Remaining.Milliseconds(), 10))
	h.Set("Sardine-Rank", m.Rank.String())
	h.Set("Sardine-Depth", strconv.Itoa(m.Depth))
	h.Set("Sardine-Budget", strconv.Itoa(m.RetryBudget))
	h.Set("Sardine-Attempt", strconv.Itoa(m.Attempt))
	if m.IdempotencyKey != "" {
		h.Set("Sardine-Id", m.IdempotencyKey)
	}
}

// ParseResponse returns refusal, drain, leaving and running calls from the Sardine- headers.
func (Native) ParseResponse(status int, h http.Header) ResponseMetadata {
	m := ResponseMetadata{
		Refused:  status == http.StatusServiceUnavailable && h.Get("Sardine-Refused") == "1",
		Draining: h.Get("Sardine-Drain") == "1", Leaving: h.Get("Sardine-Leaving") == "1", RunningCalls: -1,
	}
	m.ParseRetryAfter(status, h.Get("Retry-After"))
	running, _, _ := strings.Cut(h.Get("Sardine-Load"), "/")
	if n, err := strconv.Atoi(running); err == nil && n >= 0 {
		m.RunningCalls = n
	}
	return m
}

// internalHeaders are removed from the response of a backend server: headers that
// are meant for this instance only, and headers that only an instance may set.
var internalHeaders = []string{
	"Sardine-Load", "Sardine-Drain", "Sardine-Leaving", "Sardine-Refused", "Sardine-Outcome", "Sardine-Reason", "Sardine-Instance",
}

// SetResponseHeaders removes internalHeaders and adds the name of the instance and,
// for a status of 500 and above, the outcome failed.
func (Native) SetResponseHeaders(status int, h http.Header, instance string) {
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

// SetReportHeaders sets the outcome, the reason, the name of the instance and, for
// a retryable call, Retry-After. Retry-After is a random delay, rounded up to
// whole seconds, that is distributed uniformly from r.RetryAfter to twice
// r.RetryAfter plus a second, so that callers that were rejected at the same time
// do not retry at the same time.
func (Native) SetReportHeaders(h http.Header, r ErrorReport, instance string) int {
	h.Set("Sardine-Outcome", r.Outcome.String())
	h.Set("Sardine-Reason", r.Reason)
	if instance != "" {
		h.Set("Sardine-Instance", instance)
	}
	if r.IsRetryable() {
		delay := r.RetryAfter + rand.N(r.RetryAfter+time.Second)
		h.Set("Retry-After", strconv.Itoa(1+int(delay.Seconds())))
	}
	return r.StatusCode
}
