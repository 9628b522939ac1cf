package classifier

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/translator"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/mapper"
)

// MaxDepth is the deepest call that is accepted.
const MaxDepth = translator.MaxDepth

// maxHeaders bounds the bytes of all header names and values of a call.
const maxHeaders = 64 << 10

// defaultBudget is the number of retries of a call for which neither a rule nor
// the caller states one.
const defaultBudget = 1

// Sentinels of calls that cannot be classified.
var (
	ErrService = errors.New("no service matches host or path")
	ErrHeader  = translator.ErrHeader
)

// Classify finds rule, service and route of r in m; now is the time of arrival.
func Classify(m *mapper.Map, d translator.Dialect, r *http.Request, now time.Time) (*Call, error) {
	c, deadline := match(m, r)
	if c == nil {
		return nil, errors.Wrapf(ErrService, "host %q, path %q", r.Host, r.URL.Path)
	}
	if n := size(r.Header); n > maxHeaders {
		return nil, errors.Wrapf(ErrHeader, "headers have %d bytes, more than %d", n, maxHeaders)
	}
	h, err := d.Read(r)
	if err != nil {
		return nil, err
	}
	c.hints(h, now, deadline)
	c.Target = c.Deadline
	if c.Rule != nil {
		c.Target = now.Add(c.Rule.Target.Std())
	}
	return c, nil
}

// match returns the call with what the configuration says about it, and its
// longest time; nil when nothing matches.
func match(m *mapper.Map, r *http.Request) (*Call, time.Duration) {
	if len(m.Rules) > 0 {
		for _, u := range m.Rules[hostOf(r)] {
			if strings.HasPrefix(r.URL.Path, u.Path) {
				return &Call{
					Service: u.Pick(), Rule: u, Route: u.Name, Rank: u.Rank, Idempotent: u.Idempotent,
					Budget: u.Attempts - 1, Path: r.URL.Path,
				}, u.Deadline.Std()
			}
		}
		return nil, 0
	}
	s, path := find(m, r)
	if s == nil {
		return nil, 0
	}
	c := &Call{Service: s, Path: path, Budget: defaultBudget}
	return c, c.route(r)
}

func hostOf(r *http.Request) string {
	if h, _, err := net.SplitHostPort(r.Host); err == nil {
		return h
	}
	return r.Host
}

func find(m *mapper.Map, r *http.Request) (s *mapper.Service, path string) {
	if s := m.Hosts[hostOf(r)]; s != nil {
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
		c.Route, c.Rank, c.Idempotent = t.Path, t.Rank, t.Idempotent
		if t.Deadline != 0 {
			deadline = t.Deadline.Std()
		}
		break
	}
	return deadline
}

// hints takes over what the caller says; it may shorten the deadline and lower
// the rank of the route, not the other way round.
func (c *Call) hints(h translator.Hints, now time.Time, deadline time.Duration) {
	c.Rank = max(c.Rank, h.Rank)
	if h.Left >= 0 {
		deadline = min(deadline, h.Left)
	}
	c.Deadline = now.Add(deadline)
	c.Depth, c.Attempt, c.Identity, c.ID = h.Depth, h.Attempt, h.Identity, h.ID
	if h.Budget >= 0 {
		c.Budget = h.Budget
	}
}

func size(h http.Header) (n int) {
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
