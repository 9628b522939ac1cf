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
	maxIdentity = 255 // Bytes.
	maxAttempt  = 1000
	maxDeadline = 24 * time.Hour
)

// Native is the product's own form: headers with the prefix Sardine-.
type Native struct{}

var _ Dialect = Native{}

// Read returns what the headers of r say.
func (Native) Read(r *http.Request) (Hints, error) {
	c := Hints{Left: -1}
	if v := r.Header.Get("Sardine-Rank"); v != "" {
		if err := c.Rank.UnmarshalText([]byte(v)); err != nil {
			return c, errors.Wrapf(ErrHeader, "Sardine-Rank: %v", err)
		}
	}
	left, err := number(r, "Sardine-Deadline", -1, int(maxDeadline.Milliseconds()))
	if err != nil {
		return c, err
	}
	if left >= 0 {
		c.Left = time.Duration(left) * time.Millisecond
	}
	if c.Depth, err = number(r, "Sardine-Depth", 0, MaxDepth); err != nil {
		return c, err
	}
	if c.Attempt, err = number(r, "Sardine-Attempt", 1, maxAttempt); err != nil {
		return c, err
	}
	if c.Budget, err = number(r, "Sardine-Budget", -1, MaxDepth); err != nil {
		return c, err
	}
	return c, c.identity(r)
}

func (c *Hints) identity(r *http.Request) error {
	name := "Sardine-Id"
	if r.Header.Get(name) == "" {
		name = "Idempotency-Key"
	}
	c.Identity = r.Header.Get(name)
	if len(c.Identity) > maxIdentity {
		return errors.Wrapf(ErrHeader, "%s has %d bytes, more than %d", name, len(c.Identity), maxIdentity)
	}
	if len(r.Header.Values(name)) > 1 {
		return errors.Wrapf(ErrHeader, "%s occurs more than once", name)
	}
	return nil
}

// number reads a header with a value from 0 to limit, or returns preset when there is none.
func number(r *http.Request, name string, preset, limit int) (int, error) {
	v := r.Header.Get(name)
	if v == "" {
		return preset, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > limit {
		return 0, errors.Wrapf(ErrHeader, "%s: %q is not a number from 0 to %d", name, v, limit)
	}
	return n, nil
}

// Write sets the Sardine- headers of a call.
func (Native) Write(h http.Header, o Onward) {
	h.Set("Sardine-Deadline", strconv.FormatInt(o.Left.Milliseconds(), 10))
	h.Set("Sardine-Rank", o.Rank.String())
	h.Set("Sardine-Depth", strconv.Itoa(o.Depth))
	h.Set("Sardine-Budget", strconv.Itoa(o.Budget))
	h.Set("Sardine-Attempt", strconv.Itoa(o.Attempt))
	if o.Identity != "" {
		h.Set("Sardine-Id", o.Identity)
	}
}

// Signals returns refusal, drain and load of the Sardine- headers.
func (Native) Signals(status int, h http.Header) Signals {
	s := Signals{
		Refused: status == http.StatusServiceUnavailable && h.Get("Sardine-Refused") == "1",
		Drain:   h.Get("Sardine-Drain") == "1", Busy: -1,
	}
	busy, _, _ := strings.Cut(h.Get("Sardine-Load"), "/")
	if n, err := strconv.Atoi(busy); err == nil && n >= 0 {
		s.Busy = n
	}
	return s
}

// signals are headers that a backend server sends to this instance only, and
// those that only an instance may set.
var signals = []string{
	"Sardine-Load", "Sardine-Drain", "Sardine-Refused", "Sardine-Outcome", "Sardine-Reason", "Sardine-Instance",
}

// Mark removes the signals and adds the outcome and the instance.
func (Native) Mark(status int, h http.Header, instance string) {
	for _, name := range signals {
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
		spread := r.After + rand.N(r.After+time.Second)
		h.Set("Retry-After", strconv.Itoa(1+int(spread.Seconds())))
	}
	return r.Status
}
