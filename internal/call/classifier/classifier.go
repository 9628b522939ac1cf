package classifier

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/mapper"
)

// MaxDepth is the deepest call that is accepted: the deepest known is 27.
const MaxDepth = 32

// Limits of what a caller may send.
const (
	maxHeaders  = 64 << 10 // Bytes of all header names and values.
	maxIdentity = 255      // Bytes.
	maxAttempt  = 1000
	maxDeadline = 24 * time.Hour
)

// Sentinels of calls that cannot be classified.
var (
	ErrService = errors.New("no service matches host or path")
	ErrHeader  = errors.New("header is invalid")
)

// Classify finds service and route of r in m; now is the time of arrival.
func Classify(m *mapper.Map, r *http.Request, now time.Time) (*Call, error) {
	s, path := find(m, r)
	if s == nil {
		return nil, errors.Wrapf(ErrService, "host %q, path %q", r.Host, r.URL.Path)
	}
	c := &Call{Service: s, Path: path}
	deadline := c.route(r)
	if err := c.headers(r, now, deadline); err != nil {
		return nil, err
	}
	return c, nil
}

func find(m *mapper.Map, r *http.Request) (s *mapper.Service, path string) {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if s := m.Hosts[host]; s != nil {
		return s, r.URL.Path
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return m.Services[name], "/" + rest
}

// route applies the first matching route and returns its deadline; without a
// match a call is normal and non-idempotent, the safe assumption.
func (c *Call) route(r *http.Request) time.Duration {
	c.Rank = parser.Normal
	deadline := c.Service.Deadline.Std()
	if deadline == 0 {
		deadline = parser.DefaultDeadline
	}
	for i := range c.Service.Routes {
		t := &c.Service.Routes[i]
		if !strings.HasPrefix(c.Path, t.Path) || len(t.Methods) > 0 && !slices.Contains(t.Methods, r.Method) {
			continue
		}
		c.Rank, c.Idempotent = t.Rank, t.Idempotent
		if t.Deadline != 0 {
			deadline = t.Deadline.Std()
		}
		break
	}
	return deadline
}

func (c *Call) headers(r *http.Request, now time.Time, deadline time.Duration) error {
	if n := size(r.Header); n > maxHeaders {
		return errors.Wrapf(ErrHeader, "headers have %d bytes, more than %d", n, maxHeaders)
	}
	if v := r.Header.Get("Sardine-Rank"); v != "" {
		var rank parser.Rank
		if err := rank.UnmarshalText([]byte(v)); err != nil {
			return errors.Wrapf(ErrHeader, "Sardine-Rank: %v", err)
		}
		c.Rank = max(c.Rank, rank)
	}
	left, err := number(r, "Sardine-Deadline", int(deadline.Milliseconds()), int(maxDeadline.Milliseconds()))
	if err != nil {
		return err
	}
	c.Deadline = now.Add(min(deadline, time.Duration(left)*time.Millisecond))
	if c.Depth, err = number(r, "Sardine-Depth", 0, MaxDepth); err != nil {
		return err
	}
	if c.Attempt, err = number(r, "Sardine-Attempt", 1, maxAttempt); err != nil {
		return err
	}
	if c.Budget, err = number(r, "Sardine-Budget", 1, MaxDepth); err != nil {
		return err
	}
	return c.identity(r)
}

func (c *Call) identity(r *http.Request) error {
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

func size(h http.Header) (n int) {
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
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
