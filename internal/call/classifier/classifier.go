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
	"sardinelever.example/sardinelever/internal/route/router"
)

// MaxCallDepth is the largest depth of a call that is accepted.
const MaxCallDepth = translator.MaxCallDepth

// maxHeaderBytes limits the size of all header names and values of a request.
const maxHeaderBytes = 64 << 10

// defaultRetryBudget applies when neither a rule nor the caller sets a retry budget.
const defaultRetryBudget = 1

// Errors of requests that cannot be classified.
var (
	ErrNoService     = errors.New("no service matches host or path")
	ErrUnusableRule  = errors.New("the rule has no service for the call")
	ErrInvalidHeader = translator.ErrInvalidHeader
	ErrLargeHeader   = errors.New("header is larger than the configuration allows")
)

// ClassifyRequest returns the call of r, with the rule, or the service and route,
// that it matches in table; now is the time of arrival. The error wraps
// ErrNoService, ErrUnusableRule, ErrInvalidHeader or ErrLargeHeader.
func ClassifyRequest(table *router.RoutingTable, d translator.Dialect, r *http.Request, now time.Time) (*Call, error) {
	c, deadline := matchConfig(table, r)
	switch {
	case c == nil:
		return nil, errors.Wrapf(ErrNoService, "host %q, path %q", r.Host, r.URL.Path)
	case c.Service == nil:
		return nil, errors.Wrapf(ErrUnusableRule, "rule %q", c.RouteName)
	}
	switch n, limit := headerBytes(r.Header), table.Limits.Header; {
	case n > maxHeaderBytes:
		return nil, errors.Wrapf(ErrInvalidHeader, "headers have %d bytes, more than %d", n, maxHeaderBytes)
	case limit > 0 && n > limit:
		return nil, errors.Wrapf(ErrLargeHeader, "%d bytes, more than %d", n, limit)
	}
	metadata, err := d.ParseRequest(r)
	if err != nil {
		return nil, err
	}
	c.applyMetadata(metadata, now, deadline)
	c.TargetTime = c.Deadline
	if c.Rule != nil {
		c.TargetTime = now.Add(c.Rule.Target.AsDuration())
	}
	return c, nil
}

// matchConfig returns a call with the parameters from the configuration, and the
// time until its deadline. The call is nil when nothing matches.
func matchConfig(table *router.RoutingTable, r *http.Request) (*Call, time.Duration) {
	if len(table.RulesByHost) > 0 {
		for _, rule := range rulesOf(table, r) {
			if strings.HasPrefix(r.URL.Path, rule.Path) {
				return &Call{
					Service: rule.PickService(), Rule: rule, RouteName: rule.Name, Rank: rule.Rank, Idempotent: rule.Idempotent,
					RetryBudget: rule.Attempts - 1, Path: r.URL.Path,
				}, rule.Deadline.AsDuration()
			}
		}
		return nil, 0
	}
	service, path := findService(table, r)
	if service == nil {
		return nil, 0
	}
	c := &Call{Service: service, Path: path, RetryBudget: defaultRetryBudget}
	return c, c.applyRoute(r)
}

// rulesOf returns the rules of the host of r, which may be stated with its port.
func rulesOf(table *router.RoutingTable, r *http.Request) []*router.Rule {
	if rules := table.RulesByHost[strings.ToLower(r.Host)]; len(rules) > 0 {
		return rules
	}
	return table.RulesByHost[requestHost(r)]
}

// requestHost returns the host of r, in lower case and without a port.
func requestHost(r *http.Request) string {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// findService finds the service of r by its host, or else by the first segment of
// its path, and returns it with the path at the backend server.
func findService(table *router.RoutingTable, r *http.Request) (service *router.Service, path string) {
	if service := table.ServicesByHost[requestHost(r)]; service != nil {
		return service, r.URL.Path
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return table.Services[name], "/" + rest
}

// applyRoute applies the first matching route and returns the time until the
// deadline. Without a match the call has normal rank and is taken to be
// non-idempotent, which is safe for every call.
func (c *Call) applyRoute(r *http.Request) time.Duration {
	c.Rank = parser.Normal
	deadline := c.Service.Deadline.AsDuration()
	if deadline == 0 {
		deadline = parser.DefaultDeadline
	}
	for i := range c.Service.Routes {
		route := &c.Service.Routes[i]
		if !strings.HasPrefix(c.Path, route.Path) || len(route.Methods) > 0 && !slices.Contains(route.Methods, r.Method) {
			continue
		}
		c.RouteName, c.Rank, c.Idempotent = route.Path, route.Rank, route.Idempotent
		if route.Deadline != 0 {
			deadline = route.Deadline.AsDuration()
		}
		break
	}
	return deadline
}

// applyMetadata applies the parameters that the caller sent. They can shorten
// the deadline and lower the rank of the configuration, and not the reverse.
func (c *Call) applyMetadata(metadata translator.RequestMetadata, now time.Time, deadline time.Duration) {
	c.Rank = max(c.Rank, metadata.Rank)
	if metadata.Remaining >= 0 {
		deadline = min(deadline, metadata.Remaining)
	}
	c.Deadline = now.Add(deadline)
	c.Depth, c.Attempt, c.IdempotencyKey, c.RequestID = metadata.Depth, metadata.Attempt, metadata.IdempotencyKey, metadata.RequestID
	if metadata.RetryBudget >= 0 {
		c.RetryBudget = metadata.RetryBudget
	}
}

// headerBytes returns the size of all names and values in h; a name counts once for
// each of its values.
func headerBytes(h http.Header) (n int) {
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
