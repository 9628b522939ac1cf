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

	mu       sync.Mutex
	pools    map[netip.AddrPort]*pool
	watchers map[string]*watcher // By service.
	once     sync.Once
	http     *http.Transport
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

// leastConnections keeps one connection usable while another may be silent.
const leastConnections = 2

// Send sends o once, or twice when o allows that and the first send met a
// silent connection. The error is a *Failure. The connection of an answer is
// used again when its body was read to the end, and is closed, which cancels
// the call at the backend server, when the body is closed before that or ctx is
// done. On the documented refusal, the answer and the error are both set.
func (s *Sender) Send(ctx context.Context, o *Order) (*http.Response, error) {
	age := warmth
	if o.Fresh || !o.Call.Idempotent {
		age = freshness
	}
	w := s.watcher(o.Call.Service.Name)
	w.earn()
	patience := w.patience()
	p := s.pool(o.Server)
	o.Sent = time.Now()
	began := o.Sent
	x := exchange{order: o, pool: p, watcher: w, age: age}
	if o.Repeat {
		x.patience = patience
	}
	resp, err := s.exchange(ctx, &x)
	if errors.Is(err, errSilent) {
		o.Sent = time.Now()
		x.age, x.patience = 0, 0
		resp, err = s.exchange(ctx, &x)
		var f *Failure
		switch took := time.Since(o.Sent); {
		case err == nil && took < patience:
			w.refund()
			// Those last used before are most likely silent too.
			p.drop(began)
		case errors.As(err, &f) && f.Outcome == Rejected:
			f.Outcome = Unknown // The first send may have run.
		}
	}
	if err == nil {
		w.latencies.Record(time.Since(o.Sent), time.Now())
	}
	return resp, err
}

// errSilent reports that no byte of an answer arrived in time on a reused connection.
var errSilent = errors.New("the connection is silent")

// exchange is one send of an order.
type exchange struct {
	order    *Order
	pool     *pool
	watcher  *watcher
	age      time.Duration // Longest idle time of the connection; 0 demands a new one.
	patience time.Duration // Longest wait on a reused connection; 0 means until ctx is done.
}

func (s *Sender) exchange(ctx context.Context, x *exchange) (*http.Response, error) {
	o, p := x.order, x.pool
	l, err := p.get(ctx, s.http, x.age, s.share(o.Call.Service.Connections))
	if err != nil {
		return nil, failure(ctx, Rejected, "connect", err)
	}
	reused, began := !l.used.IsZero(), time.Now()
	l.conn.begin()
	i := &informer{inform: o.Inform}
	defer i.end()
	silent := func() bool { return false }
	if reused && x.patience > 0 {
		silent = x.watcher.start(l, x.patience).stop
	}
	resp, err := l.RoundTrip(outgoing(httptrace.WithClientTrace(ctx, i.trace()), s.dialect(), o))
	if silent() && ctx.Err() == nil {
		if err == nil {
			_ = resp.Body.Close()
		}
		return nil, errSilent
	}
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		_ = l.Close()
		return nil, failure(ctx, Unknown, "protocol", errors.New("the backend server changed the protocol"))
	}
	if err != nil {
		wrote, answered := l.conn.seal()
		_ = l.Close()
		if reused && !answered {
			p.drop(began)
		}
		if !wrote {
			return nil, failure(ctx, Rejected, "write", err)
		}
		return nil, failure(ctx, Unknown, "read", err)
	}
	s.follow(o, l, resp)
	return resp, s.judge(o, resp)
}

// judge returns the failure that the header of an answer tells, nil when the
// answer is that of the call.
func (s *Sender) judge(o *Order, resp *http.Response) error {
	signals := s.dialect().Signals(resp.StatusCode, resp.Header)
	switch {
	case signals.ID != "" && signals.ID != o.Call.ID:
		return &Failure{Outcome: Unknown, Reason: "foreign", Err: errors.Errorf("backend server %s answered another call", o.Server)}
	case signals.Moved:
		return &Failure{Outcome: Rejected, Reason: "moved", Err: errors.Errorf("another backend server than %s has the address %s", o.Name, o.Server)}
	case signals.Unproven:
		return &Failure{Outcome: Unknown, Reason: "unproven", Err: errors.Errorf("backend server %s answered %d without proof", o.Server, resp.StatusCode)}
	case signals.Refused:
		return &Failure{Outcome: Rejected, Reason: "refused", Err: errors.Errorf("backend server %s refused", o.Server)}
	}
	return nil
}

func (s *Sender) dialect() translator.Dialect {
	if s.Dialect == nil {
		return translator.Native{}
	}
	return s.Dialect
}

// follow watches the body of resp for its end.
func (s *Sender) follow(o *Order, l *link, resp *http.Response) {
	if o.Request.Method == http.MethodHead || resp.ContentLength == 0 {
		l.conn.end()
		return
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, link: l}
}

func (s *Sender) setup() {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	s.http = &http.Transport{
		DialContext: dial, DisableCompression: true, Protocols: protocols,
		ExpectContinueTimeout: continueTimeout, MaxResponseHeaderBytes: maxAnswerHeader,
	}
	s.pools, s.watchers = make(map[netip.AddrPort]*pool), make(map[string]*watcher)
}

func (s *Sender) pool(server netip.AddrPort) *pool {
	s.once.Do(s.setup)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[server]
	if p == nil {
		p = &pool{server: server, changed: make(chan struct{})}
		s.pools[server] = p
	}
	return p
}

// Active reports whether an exchange with server runs now or ended within age,
// so that its state is known without a probe.
func (s *Sender) Active(server netip.AddrPort, age time.Duration) bool {
	s.once.Do(s.setup)
	s.mu.Lock()
	p := s.pools[server]
	s.mu.Unlock()
	return p != nil && p.active(age)
}

// Keep forgets backend servers that are not among servers and have no
// connection left, and closes the idle connections to them.
func (s *Sender) Keep(servers map[netip.AddrPort]bool) {
	s.once.Do(s.setup)
	s.mu.Lock()
	var drop []*pool
	for addr, p := range s.pools {
		if servers[addr] {
			continue
		}
		drop = append(drop, p)
		if p.empty() {
			delete(s.pools, addr)
		}
	}
	s.mu.Unlock()
	for _, p := range drop {
		p.drop(time.Now())
	}
}

// share returns how many of the connections to one backend server this
// instance may open: connections / instances, at least 2 because one of them
// may be silent.
func (s *Sender) share(connections int) int {
	if connections == 0 {
		connections = parser.DefaultConnections
	}
	n := 1
	if s.Instances != nil {
		n = max(s.Instances(), 1)
	}
	return max(connections/n, leastConnections)
}

// failure returns the error of an attempt; an attempt that ctx ended has the
// reason of ctx.
func failure(ctx context.Context, o Outcome, reason string, err error) *Failure {
	deadline, ok := ctx.Deadline()
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), ok && !time.Now().Before(deadline):
		reason = "deadline"
	case ctx.Err() != nil:
		reason = "gone"
	}
	return &Failure{Outcome: o, Reason: reason, Err: err}
}

// answerBody is the body of an answer; its end frees the connection.
type answerBody struct {
	io.ReadCloser
	link  *link
	ended bool
}

// Read reads the body and marks the exchange as ended at its end.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		b.link.conn.end()
	}
	return n, err
}

// Close closes the connection when the answer was not read to its end.
func (b *answerBody) Close() error {
	if !b.ended {
		b.ended = true
		_ = b.link.Close()
	}
	return b.ReadCloser.Close()
}
