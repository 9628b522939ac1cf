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
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// Sender sends calls to backend servers. The zero value is ready to use.
type Sender struct {
	InstanceCount func() int         // Returns the number of instances that receive calls; nil means 1.
	Dialect       translator.Dialect // nil means translator.Native.
	// Withholder receives what the responses state about their backend servers, and
	// decides whether a call may be written. nil allows every call.
	Withholder *withholder.Withholder
	// AwaitRecords returns true when what this instance knows of backend servers may be used,
	// or false when ctx is done before. It is called before each request is written; nil
	// means always.
	AwaitRecords func(ctx context.Context) bool

	mu             sync.Mutex
	pools          map[netip.AddrPort]*connPool
	resendPolicies map[string]*resendPolicy // By service.
	initOnce       sync.Once
	transport      *http.Transport
}

// Attempt is one attempt of a call at a backend server.
type Attempt struct {
	Call             *classifier.Call
	Request          *http.Request // Request of the caller; it is not changed.
	Body             io.ReadCloser // Replaces the body of Request.
	Server           netip.AddrPort
	Lifetime         withholder.Lifetime // Lifetime of the backend server that the routing table lists at Server.
	Zone             string              // Availability zone of the backend server.
	ServerName       string              // Name of the only backend server that may run the call; empty means any at Server.
	Number           int                 // Number of the attempt, from 1.
	RetryBudget      int                 // Extra attempts (retries and hedges) that the backend server and all calls below it may use.
	RequireFreshConn bool                // Requires a connection that is new or was used within maxFreshIdleTime.
	// AllowResend allows a second send to the same backend server when the
	// connection of the first is silent. It requires an idempotent call without
	// a body.
	AllowResend bool
	// SendBy is the latest time at which the call may be written; zero means any time.
	// Later, nothing is sent and the error wraps ErrWithheld.
	SendBy time.Time
	SentAt time.Time // Start of the last send; set by Send.
	// ForwardInformational is called for each 1xx response except 100 Continue,
	// which http.Server sends to the caller when the body is first read. It may
	// be nil.
	ForwardInformational func(status int, h http.Header)
}

// minConnections leaves one usable connection when another is silent.
const minConnections = 2

// Send sends the call of a. It sends it a second time when a.AllowResend is set
// and the first connection was silent. The error is a *Failure. The connection
// is reused after the response body has been read to its end. When the body is
// closed before that, or ctx is done, the connection is closed, which cancels the
// call at the backend server. When the response arrived but does not count as the
// response to the call, such as a refusal, both results are set.
func (s *Sender) Send(ctx context.Context, a *Attempt) (*http.Response, error) {
	maxIdle := maxIdleTime
	if a.RequireFreshConn || !a.Call.Idempotent {
		maxIdle = maxFreshIdleTime
	}
	pool := s.serverPool(a.Server)
	if !a.Call.Idempotent && pool.takeFreshCall() {
		maxIdle = 0
	}
	policy := s.resendPolicy(a.Call.Service.Name)
	policy.creditCall()
	firstByteTimeout := policy.firstByteTimeout()
	a.SentAt = time.Now()
	start := a.SentAt
	x := exchange{attempt: a, pool: pool, policy: policy, maxIdle: maxIdle}
	if a.AllowResend {
		x.firstByteTimeout = firstByteTimeout
	}
	resp, err := s.runExchange(ctx, &x)
	if errors.Is(err, errSilentConn) {
		a.SentAt = time.Now()
		x.maxIdle, x.firstByteTimeout = 0, 0
		resp, err = s.runExchange(ctx, &x)
		var f *Failure
		switch elapsed := time.Since(a.SentAt); {
		case err == nil && elapsed < firstByteTimeout:
			policy.refundToken()
			// The connections that were idle when the silent one was used are
			// probably silent too.
			pool.closeIdleConns(start)
		case errors.As(err, &f) && f.Outcome == Rejected:
			f.Outcome = Unknown // The backend server may have run the first send.
		}
	}
	if err == nil {
		policy.latencies.Record(time.Since(a.SentAt), time.Now())
	}
	return resp, err
}

// errSilentConn reports that no byte of a response arrived on a reused
// connection within the first-byte timeout.
var errSilentConn = errors.New("no byte of a response arrived on the reused connection in time")

// exchange is one send of an attempt.
type exchange struct {
	attempt          *Attempt
	pool             *connPool
	policy           *resendPolicy
	maxIdle          time.Duration // Longest idle time of the connection; 0 requires a new one.
	firstByteTimeout time.Duration // For a reused connection; 0 means none.
}

// runExchange sends the call once and returns the response or why there is none.
func (s *Sender) runExchange(ctx context.Context, x *exchange) (*http.Response, error) {
	a, pool := x.attempt, x.pool
	conn, err := pool.acquireConn(ctx, s.transport, connRequest{
		lifetime: a.Lifetime, zone: a.Zone, awaitRecords: s.AwaitRecords, maxIdle: x.maxIdle, limit: s.connectionLimit(a.Call.Service.Connections), withholder: s.Withholder, requestID: a.Call.RequestID,
		sendBy: a.SendBy,
	})
	switch {
	case errors.Is(err, ErrWithheld):
		return nil, newFailure(ctx, Rejected, "withheld", err)
	case err != nil:
		return nil, newFailure(ctx, Rejected, "connect", err)
	}
	reused, start := !conn.lastUsed.IsZero(), time.Now()
	conn.tracked.beginExchange()
	forwarder := newInformationalForwarder(conn.tracked, a.ForwardInformational)
	defer forwarder.stop()
	closedAsSilent := func() bool { return false }
	if reused && x.firstByteTimeout > 0 {
		closedAsSilent = x.policy.startTimer(conn, x.firstByteTimeout).stop
	}
	resp, err := roundTrip(conn, newBackendRequest(httptrace.WithClientTrace(ctx, forwarder.clientTrace()), s.dialect(), a))
	var metadata translator.ResponseMetadata
	if err == nil {
		metadata = s.dialect().ParseResponse(resp.StatusCode, resp.Header)
		s.recordStatements(conn.lifetime, &metadata, isForeign(a, &metadata, reused))
	}
	if closedAsSilent() && ctx.Err() == nil {
		if err == nil {
			_ = resp.Body.Close()
		}
		return nil, errSilentConn
	}
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		_ = conn.Close()
		return nil, newFailure(ctx, Unknown, "protocol", errors.New("the backend server switched protocols (status 101)"))
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
	failure := checkResponse(a, resp.StatusCode, &metadata, reused)
	if failure != nil && failure.Reason == foreignReason {
		conn.closeAsForeign() // The response to this call may still arrive on it.
		return resp, failure
	}
	if failure != nil {
		trackBody(a, conn, resp, conn.afterRefusal(&metadata))
		return resp, failure
	}
	trackBody(a, conn, resp, conn.tracked.endExchange)
	return resp, nil
}

// foreignReason is the Reason of a Failure whose response belongs to another call.
const foreignReason = "foreign"

// MovedReason is the Reason of a Failure that another backend server answered, which has the
// address now.
const MovedReason = "moved"

// isForeign reports whether the response with metadata m belongs to another call than
// that of a.
func isForeign(a *Attempt, m *translator.ResponseMetadata, reused bool) bool {
	return m.RequestID != "" && m.RequestID != a.Call.RequestID || reused && m.Unnamed && a.Call.RequestID != ""
}

// recordStatements records what the response with metadata m states about its backend
// server. Each response on a connection, also a late one, comes from the process with
// the lifetime for which the connection was opened.
func (s *Sender) recordStatements(lifetime withholder.Lifetime, m *translator.ResponseMetadata, foreign bool) {
	source := withholder.FromRequest
	switch {
	case foreign:
		source = withholder.FromLate
	case m.Refused, m.Misdirected, m.UnprovenRefusal:
		source = withholder.FromRefusal
	}
	s.recordFrom(lifetime, m, source)
}

// recordFrom records the statements in m, the metadata of a response of the given kind.
func (s *Sender) recordFrom(lifetime withholder.Lifetime, m *translator.ResponseMetadata, source withholder.Source) {
	now := time.Now()
	if m.Leaving {
		s.Withholder.RecordLeaving(now, lifetime, source)
	}
	if m.InvalidRetryAfter != "" {
		s.Withholder.RecordInvalidPause(now, lifetime, m.InvalidRetryAfter)
	}
	s.Withholder.RecordPause(now, lifetime, m.RetryAfter, source)
}

// checkResponse returns the failure that a response states, or nil when it is the
// response to the call. On a reused connection, a response without the ID of the call
// may be a late one to an earlier call or probe. On any connection, a refusal without
// it may have been written before the request arrived, which may then run.
func checkResponse(a *Attempt, statusCode int, metadata *translator.ResponseMetadata, reused bool) *Failure {
	switch {
	case isForeign(a, metadata, reused):
		return &Failure{Outcome: Unknown, Reason: foreignReason, Err: errors.Errorf("response of backend server %s belongs to another call", a.Server)}
	case metadata.UnprovenRefusal, metadata.IsRefusal() && metadata.Unnamed && a.Call.RequestID != "":
		return &Failure{Outcome: Unknown, Reason: "unproven", Err: errors.Errorf("backend server %s answered %d without proof that it did not run the call", a.Server, statusCode)}
	case metadata.Misdirected:
		return &Failure{Outcome: Rejected, Reason: MovedReason, Err: errors.Errorf("backend server %s is no longer at address %s, which another one has", a.ServerName, a.Server)}
	case metadata.UnprovenSuccess:
		return &Failure{Outcome: Unknown, Reason: "unproven", Err: errors.Errorf("backend server %s answered %d without proof that it ran the call", a.Server, statusCode)}
	case metadata.Refused:
		return &Failure{Outcome: Rejected, Reason: "refused", Err: errors.Errorf("backend server %s refused the call", a.Server)}
	}
	return nil
}

func (s *Sender) dialect() translator.Dialect {
	if s.Dialect == nil {
		return translator.Native{}
	}
	return s.Dialect
}

// trackBody calls onEnd at the end of the response body.
func trackBody(a *Attempt, conn *pooledConn, resp *http.Response, onEnd func()) {
	if a.Request.Method == http.MethodHead || resp.ContentLength == 0 {
		onEnd()
		return
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, conn: conn, onEnd: onEnd}
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

// serverPool returns the connection pool of server, which it creates if needed.
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

// HasRecentExchange reports whether an exchange with server is in progress or
// ended within maxAge, so that its state is known without a probe.
func (s *Sender) HasRecentExchange(server netip.AddrPort, maxAge time.Duration) bool {
	s.initOnce.Do(s.initialize)
	s.mu.Lock()
	p := s.pools[server]
	s.mu.Unlock()
	return p != nil && p.hasRecentExchange(maxAge)
}

// CountConnsInUse returns the number of connections to servers that carry an exchange.
func (s *Sender) CountConnsInUse(servers map[netip.AddrPort]bool) (n int) {
	s.initOnce.Do(s.initialize)
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, p := range s.pools {
		if servers[addr] {
			n += p.countInUse()
		}
	}
	return n
}

// RetainServers closes the idle connections to all backend servers that are not
// in servers, and removes the pools of those without open connections.
func (s *Sender) RetainServers(servers map[netip.AddrPort]bool) {
	s.initOnce.Do(s.initialize)
	s.mu.Lock()
	var unlisted []*connPool
	for addr, p := range s.pools {
		if servers[addr] {
			continue
		}
		unlisted = append(unlisted, p)
		if p.hasNoConns() {
			delete(s.pools, addr)
		}
	}
	s.mu.Unlock()
	for _, p := range unlisted {
		p.closeIdleConns(time.Now())
	}
}

// connectionLimit returns how many connections to one backend server this
// instance may have open: its share of connections, which all instances have
// together, but at least minConnections.
func (s *Sender) connectionLimit(connections int) int {
	if connections == 0 {
		connections = parser.DefaultConnections
	}
	instances := 1
	if s.InstanceCount != nil {
		instances = max(s.InstanceCount(), 1)
	}
	return max(connections/instances, minConnections)
}

// newFailure returns the error of an attempt. When the deadline has passed or
// ctx was cancelled, the reason is "deadline" or "gone" instead of reason.
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

// responseBody is a response body that calls onEnd at its end.
type responseBody struct {
	io.ReadCloser
	conn  *pooledConn
	onEnd func()
	ended bool
}

// Read reads from the body and calls onEnd at the end of the body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		b.onEnd()
	}
	return n, err
}

// Close closes the body, and also the connection when the body was not read to
// its end.
func (b *responseBody) Close() error {
	if !b.ended {
		b.ended = true
		_ = b.conn.Close()
	}
	return b.ReadCloser.Close()
}
