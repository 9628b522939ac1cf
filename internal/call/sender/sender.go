package sender

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/classifier"
)

// Sender sends calls to backend servers; the zero value is ready to use.
type Sender struct {
	once  sync.Once
	fresh *http.Transport // For non-idempotent calls: connections used in the last second.
	warm  *http.Transport
}

// freshness bounds the idle time of a connection that carries a non-idempotent
// call; an older one may have gone silent.
const freshness = time.Second

const warmth = 30 * time.Second

// Send sends r as call c to server once. The error is a *Failure.
func (s *Sender) Send(ctx context.Context, server netip.AddrPort, c *classifier.Call, r *http.Request, attempt int) (*http.Response, error) {
	s.once.Do(s.setup)
	t := &trace{}
	out := outgoing(httptrace.WithClientTrace(ctx, t.hooks()), server, c, r, attempt)
	transport := s.fresh
	if c.Idempotent {
		transport = s.warm
	}
	resp, err := transport.RoundTrip(out)
	if err != nil {
		return nil, t.failure(ctx, err)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Sardine-Refused") == "1" {
		return resp, &Failure{Outcome: Rejected, Reason: "refused", Err: errors.Errorf("backend server %s refused", server)}
	}
	return resp, nil
}

func (s *Sender) setup() {
	d := new(dialer)
	d.Timeout = dialTimeout
	s.fresh = &http.Transport{DialContext: d.dial, IdleConnTimeout: freshness, MaxIdleConnsPerHost: 8, DisableCompression: true}
	s.warm = &http.Transport{DialContext: d.dial, IdleConnTimeout: warmth, MaxIdleConnsPerHost: 8, DisableCompression: true}
}

// hopHeaders belong to one connection and are not forwarded. The identity
// headers are left out as well: http.Transport resends a request that carries one.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Idempotency-Key", "X-Idempotency-Key",
}

func outgoing(ctx context.Context, server netip.AddrPort, c *classifier.Call, r *http.Request, attempt int) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host, out.URL.Path = "http", server.String(), c.Path
	out.GetBody = nil
	// A body of its own type keeps http.Transport from treating the request as replayable.
	out.Body = struct{ io.ReadCloser }{r.Body}
	for _, h := range hopHeaders {
		out.Header.Del(h)
	}
	left := max(time.Until(c.Deadline).Milliseconds(), 0)
	out.Header.Set("Sardine-Deadline", strconv.FormatInt(left, 10))
	out.Header.Set("Sardine-Rank", c.Rank.String())
	out.Header.Set("Sardine-Depth", strconv.Itoa(c.Depth+1))
	out.Header.Set("Sardine-Budget", strconv.Itoa(c.Budget))
	out.Header.Set("Sardine-Attempt", strconv.Itoa(attempt))
	if c.Identity != "" {
		out.Header.Set("Sardine-Id", c.Identity)
	}
	return out
}
