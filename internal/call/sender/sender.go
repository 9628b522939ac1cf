package sender

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/translator"
	"sardinelever.example/sardinelever/internal/config/parser"
)

// Sender sends calls to backend servers; the zero value is ready to use.
type Sender struct {
	Instances func() int         // Entry instances in the fleet; nil means 1.
	Dialect   translator.Dialect // nil means translator.Native.

	mu             sync.Mutex
	pools          map[netip.AddrPort]*connPool
	resendPolicies map[string]*resendPolicy // By service.
	initOnce       sync.Once
	transport      *http.Transport
}

// Order is one attempt to send a call.
type Order struct {
	Call    *classifier.Call
	Request *http.Request // As it came from the caller; it is not changed.
	Body    io.ReadCloser // Read instead of the body of Request.
	Server  netip.AddrPort
	Name    string // Name of the only backend server that may run the call; empty means any at Server.
	Attempt int    // Starts at 1.
	Budget  int    // Retries that the backend server and all calls below it may use.
	Fresh   bool   // Demands a connection that is new or was used within the last second.
	// Repeat allows a second send to the same backend server when the first one
	// met a silent connection; the call is idempotent and has no body.
	Repeat bool
	Sent   time.Time // Set by Send: the start of the last send.
	// Inform is called for every 1xx answer but 100 Continue, which the
	// caller's own connection sends when the body is first read; it may be nil.
	Inform func(status int, h http.Header)
}

// minConnections keeps one connection usable while another may be silent.
const minConnections = 2

// Send sends o once, or twice when o allows that and the first send met a
// silent connection. The error is a *Failure. The connection of an answer is
// used again when its body was read to the end, and is closed, which cancels
// the call at the backend server, when the body is closed before that or ctx is
// done. On the documented refusal, the answer and the error are both set.
func (s *Sender) Send(ctx context.Context, a *Order) (*http.Response, error) {
	maxIdle := maxIdleTime
	if a.Fresh || !a.Call.Idempotent {
		maxIdle = maxFreshIdleTime
	}
	policy := s.resendPolicy(a.Call.Service.Name)
	policy.creditCall()
	firstByteTimeout := policy.firstByteTimeout()
	pool := s.serverPool(a.Server)
	a.Sent = time.Now()
	start := a.Sent
	x := exchange{attempt: a, pool: pool, policy: policy, maxIdle: maxIdle}
	if a.Repeat {
		x.firstByteTimeout = firstByteTimeout
	}
	resp, err := s.runExchange(ctx, &x)
	if errors.Is(err, errSilentConn) {
		a.Sent = time.Now()
		x.maxIdle, x.firstByteTimeout = 0, 0
		resp, err = s.runExchange(ctx, &x)
		var f *Failure
		switch elapsed := time.Since(a.Sent); {
		case err == nil && elapsed < firstByteTimeout:
			policy.refundToken()
			// Those last used before are most likely silent too.
			pool.closeIdleConns(start)
		case errors.As(err, &f) && f.Outcome == Rejected:
			f.Outcome = Unknown // The first send may have run.
		}
	}
	if err == nil {
		policy.latencies.Record(time.Since(a.Sent), time.Now())
	}
	return resp, err
}

// errSilentConn reports that no byte of an answer arrived in time on a reused connection.
var errSilentConn = errors.New("the connection is silent")

// exchange is one send of an order.
type exchange struct {
	attempt          *Order
	pool             *connPool
	policy           *resendPolicy
	maxIdle          time.Duration // Longest idle time of the connection; 0 demands a new one.
	firstByteTimeout time.Duration // Longest wait on a reused connection; 0 means until ctx is done.
}

func (s *Sender) runExchange(ctx context.Context, x *exchange) (*http.Response, error) {
	a, pool := x.attempt, x.pool
	conn, err := pool.acquireConn(ctx, s.transport, x.maxIdle, s.connectionLimit(a.Call.Service.Connections))
	if err != nil {
		return nil, newFailure(ctx, Rejected, "connect", err)
	}
	reused, start := !conn.lastUsed.IsZero(), time.Now()
	conn.tracked.beginExchange()
	forwarder := &informationalForwarder{forward: a.Inform}
	defer forwarder.stop()
	closedAsSilent := func() bool { return false }
	if reused && x.firstByteTimeout > 0 {
		closedAsSilent = x.policy.startTimer(conn, x.firstByteTimeout).stop
	}
	resp, err := conn.RoundTrip(newBackendRequest(httptrace.WithClientTrace(ctx, forwarder.clientTrace()), s.dialect(), a))
	if closedAsSilent() && ctx.Err() == nil {
		if err == nil {
			_ = resp.Body.Close()
		}
		return nil, errSilentConn
	}
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		_ = conn.Close()
		return nil, newFailure(ctx, Unknown, "protocol", errors.New("the backend server changed the protocol"))
	}
	if err != nil {
		wrote, gotResponseByte := conn.tracked.stopWrites()
		_ = conn.Close()
		if reused && !gotResponseByte {
			pool.closeIdleConns(start)
		}
		if !wrote {
			return nil, newFailure(ctx, Rejected, "write", err)
		}
		return nil, newFailure(ctx, Unknown, "read", err)
	}
	s.trackBody(a, conn, resp)
	return resp, s.checkResponse(a, resp)
}

// checkResponse returns the failure that the header of an answer tells, nil when the
// answer is that of the call.
func (s *Sender) checkResponse(a *Order, resp *http.Response) error {
	metadata := s.dialect().Signals(resp.StatusCode, resp.Header)
	switch {
	case metadata.ID != "" && metadata.ID != a.Call.ID:
		return &Failure{Outcome: Unknown, Reason: "foreign", Err: errors.Errorf("backend server %s answered another call", a.Server)}
	case metadata.Moved:
		return &Failure{Outcome: Rejected, Reason: "moved", Err: errors.Errorf("another backend server than %s has the address %s", a.Name, a.Server)}
	case metadata.Unproven:
		return &Failure{Outcome: Unknown, Reason: "unproven", Err: errors.Errorf("backend server %s answered %d without proof", a.Server, resp.StatusCode)}
	case metadata.Refused:
		return &Failure{Outcome: Rejected, Reason: "refused", Err: errors.Errorf("backend server %s refused", a.Server)}
	}
	return nil
}

func (s *Sender) dialect() translator.Dialect {
	if s.Dialect == nil {
		return translator.Native{}
	}
	return s.Dialect
}

// trackBody watches the body of resp for its end.
func (s *Sender) trackBody(a *Order, conn *pooledConn, resp *http.Response) {
	if a.Request.Method == http.MethodHead || resp.ContentLength == 0 {
		conn.tracked.endExchange()
		return
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, conn: conn}
}

func (s *Sender) initialize() {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	s.transport = &http.Transport{
		DialContext: dialTracked, DisableCompression: true, Protocols: protocols,
		ExpectContinueTimeout: continueTimeout, MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	s.pools, s.resendPolicies = make(map[netip.AddrPort]*connPool), make(map[string]*resendPolicy)
}

func (s *Sender) serverPool(server netip.AddrPort) *connPool {
	s.initOnce.Do(s.initialize)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[server]
	if p == nil {
		p = &connPool{server: server, changed: make(chan struct{})}
		s.pools[server] = p
	}
	return p
}

// Active reports whether an exchange with server runs now or ended within age,
// so that its state is known without a probe.
func (s *Sender) Active(server netip.AddrPort, maxAge time.Duration) bool {
	s.initOnce.Do(s.initialize)
	s.mu.Lock()
	p := s.pools[server]
	s.mu.Unlock()
	return p != nil && p.hasRecentExchange(maxAge)
}

// Keep forgets backend servers that are not among servers and have no
// connection left, and closes the idle connections to them.
func (s *Sender) Keep(servers map[netip.AddrPort]bool) {
	s.initOnce.Do(s.initialize)
	s.mu.Lock()
	var removed []*connPool
	for addr, p := range s.pools {
		if servers[addr] {
			continue
		}
		removed = append(removed, p)
		if p.hasNoConns() {
			delete(s.pools, addr)
		}
	}
	s.mu.Unlock()
	for _, p := range removed {
		p.closeIdleConns(time.Now())
	}
}

// connectionLimit returns how many of the connections to one backend server this
// instance may open: connections / instances, at least 2 because one of them
// may be silent.
func (s *Sender) connectionLimit(connections int) int {
	if connections == 0 {
		connections = parser.DefaultConnections
	}
	instances := 1
	if s.Instances != nil {
		instances = max(s.Instances(), 1)
	}
	return max(connections/instances, minConnections)
}

// newFailure returns the error of an attempt; an attempt that ctx ended has the
// reason of ctx.
func newFailure(ctx context.Context, outcome Outcome, reason string, err error) *Failure {
	deadline, ok := ctx.Deadline()
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), ok && !time.Now().Before(deadline):
		reason = "deadline"
	case ctx.Err() != nil:
		reason = "gone"
	}
	return &Failure{Outcome: outcome, Reason: reason, Err: err}
}

// responseBody is the body of an answer; its end frees the connection.
type responseBody struct {
	io.ReadCloser
	conn  *pooledConn
	ended bool
}

// Read reads the body and marks the exchange as ended at its end.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		b.conn.tracked.endExchange()
	}
	return n, err
}

// Close closes the connection when the answer was not read to its end.
func (b *responseBody) Close() error {
	if !b.ended {
		b.ended = true
		_ = b.conn.Close()
	}
	return b.ReadCloser.Close()
}
