package linker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// Version is the major version of the protocol between instances.
const Version = 1

// Errors of a Linker.
var (
	ErrClosed  = errors.New("linker is closed")
	ErrRefused = errors.New("session is refused")
	ErrDial    = errors.New("instance is not reached")
)

// Linker holds the sessions of one instance. Its fields are set before Bind,
// Run and Open.
type Linker struct {
	Name        string
	Incarnation uint64 // Start of this process, nanoseconds since 1970.
	Zone        string
	Region      string
	Listen      netip.AddrPort
	TLS         parser.TLS // Key files; unused when Plain is set.
	Plain       bool       // Plain leaves links unencrypted.
	Audit       *auditor.Auditor
	Handlers    map[Kind]Handler
	Lost        func(peer netip.AddrPort, err error) // Called after a failed dial and a broken session; must not block; may be nil.
	Version     uint32                               // Major version to announce; 0 means the constant Version.

	Dial      time.Duration // Limit of connecting, TLS and Hello together; 0 means 1s.
	Keepalive time.Duration // Period of pings on a session; 0 means 2s.
	Write     time.Duration // Limit of a write and of a ping; 0 means 3s.
	Backoff   time.Duration // Longest pause between dials of one address; 0 means 1s.
	Idle      time.Duration // Age at which a session without streams is closed; 0 means 60s.

	bindOnce     sync.Once
	ctx          context.Context
	cancel       context.CancelFunc
	bindErr      error
	listener     net.Listener
	keyFiles     *keyFiles
	yamuxConfig  *yamux.Config
	handshakes   chan struct{} // Limits handshakes of accepted connections.
	auditLimiter *rate.Limiter
	tasks        sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	endpoints map[netip.AddrPort]*endpoint
	sessions  map[*session]struct{}

	kindByteCounts  [len(streamKinds)]byteCounter
	wireByteCount   byteCounter
	refusedSessions atomic.Uint64
}

const (
	maxHandshakes = 64 // Concurrent handshakes of accepted connections.
	minBackoff    = 50 * time.Millisecond
)

func (l *Linker) init() {
	l.ctx, l.cancel = context.WithCancel(context.Background())
	setDefault(&l.Dial, time.Second)
	setDefault(&l.Keepalive, 2*time.Second)
	setDefault(&l.Write, 3*time.Second)
	setDefault(&l.Backoff, time.Second)
	setDefault(&l.Idle, time.Minute)
	if l.Version == 0 {
		l.Version = Version
	}
	l.yamuxConfig = yamux.DefaultConfig()
	l.yamuxConfig.KeepAliveInterval = l.Keepalive
	l.yamuxConfig.ConnectionWriteTimeout = l.Write
	l.yamuxConfig.StreamOpenTimeout = l.Write
	l.yamuxConfig.StreamCloseTimeout = 10 * time.Second
	l.yamuxConfig.LogOutput, l.yamuxConfig.Logger = nil, yamuxLogger{}
	l.handshakes = make(chan struct{}, maxHandshakes)
	// Scans of the port must not displace the rest of the audit trail.
	l.auditLimiter = rate.NewLimiter(1, 20)
	l.endpoints = make(map[netip.AddrPort]*endpoint)
	l.sessions = make(map[*session]struct{})
	if !l.Plain {
		l.keyFiles = &keyFiles{paths: l.TLS, audit: l.Audit}
		if _, _, l.bindErr = l.keyFiles.loadChanged(); l.bindErr != nil {
			return
		}
	}
	if !l.Listen.IsValid() {
		return
	}
	l.listener, l.bindErr = net.Listen("tcp", l.Listen.String())
	l.bindErr = errors.Wrap(l.bindErr, "linker")
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// Bind opens the listener and loads the key files. Run calls it when the caller
// did not.
func (l *Linker) Bind() error {
	l.bindOnce.Do(l.init)
	return l.bindErr
}

// Addr returns the address of the listener after Bind, zero without a listener.
func (l *Linker) Addr() netip.AddrPort {
	if l.listener == nil {
		return netip.AddrPort{}
	}
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run accepts sessions until ctx is done, then closes all sessions and waits
// for the handlers.
func (l *Linker) Run(ctx context.Context) error {
	if err := l.Bind(); err != nil {
		return err
	}
	if l.listener != nil {
		l.tasks.Add(1)
		go l.acceptConns()
	}
	sweep := time.NewTicker(max(l.Idle/8, 10*time.Millisecond))
	defer sweep.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-sweep.C:
			l.closeIdleSessions(time.Now())
		}
	}
	l.close()
	l.tasks.Wait()
	return nil
}

func (l *Linker) close() {
	l.mu.Lock()
	l.closed = true
	open := make([]*session, 0, len(l.sessions))
	for s := range l.sessions {
		open = append(open, s)
	}
	l.mu.Unlock()
	l.cancel()
	if l.listener != nil {
		_ = l.listener.Close()
	}
	for _, s := range open {
		_ = s.mux.Close()
	}
}

// acceptConns accepts connections.
func (l *Linker) acceptConns() {
	defer l.tasks.Done()
	for l.ctx.Err() == nil {
		conn, err := l.listener.Accept()
		if err != nil {
			if l.ctx.Err() == nil {
				log.Warn().Err(err).Msg("fleet: accept failed")
				time.Sleep(minBackoff) // Accept fails at once while file descriptors are short.
			}
			continue
		}
		select {
		case l.handshakes <- struct{}{}:
		default:
			l.recordRefusal(conn.RemoteAddr().String(), errors.Wrapf(ErrRefused, "more than %d handshakes at once", maxHandshakes))
			_ = conn.Close()
			continue
		}
		if !l.addTask() {
			_ = conn.Close()
			return
		}
		go l.serveConn(conn)
	}
}

// addTask counts a goroutine, unless the Linker is closed.
func (l *Linker) addTask() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.tasks.Add(1)
	return true
}

// serveConn makes a session of an accepted connection and serves it.
func (l *Linker) serveConn(conn net.Conn) {
	defer l.tasks.Done()
	s, err := l.newAcceptedSession(conn)
	<-l.handshakes
	if err != nil {
		if l.ctx.Err() == nil {
			l.recordRefusal(conn.RemoteAddr().String(), err)
		}
		return
	}
	if a := s.peerHello.Peer; a.IsValid() {
		l.endpointOf(a).cacheAccepted(s)
	}
	s.serveStreams()
}

func (l *Linker) recordRefusal(remote string, err error) {
	l.refusedSessions.Add(1)
	if l.auditLimiter.Allow() {
		l.Audit.Note(auditor.Change{Part: "fleet", Subject: remote, Cause: err.Error(), Before: "connecting", After: "refused"})
	}
}

// endpointOf returns the cache entry of peer.
func (l *Linker) endpointOf(peer netip.AddrPort) *endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[peer]
	if e == nil {
		e = &endpoint{linker: l, addr: peer}
		l.endpoints[peer] = e
	}
	return e
}

// Open opens a stream of kind k to the instance that listens at peer. An error
// means that nothing was sent on the stream. The connection is a *Stream.
func (l *Linker) Open(ctx context.Context, peer netip.AddrPort, k Kind) (net.Conn, error) {
	if err := l.Bind(); err != nil {
		return nil, err
	}
	var err error
	for range 2 { // A cached session may close between the look-up and the first use.
		var s *session
		if s, err = l.endpointOf(peer).sessionOrDial(ctx); err != nil {
			return nil, err
		}
		var st *Stream
		if st, err = s.openStream(ctx, k); err == nil {
			return st, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Wrapf(err, "stream to %s", peer)
}

// Redial connects to peer anew, whatever session is cached, and caches the new
// session. It proves that the peer accepts sessions now.
func (l *Linker) Redial(ctx context.Context, peer netip.AddrPort) (Hello, error) {
	if err := l.Bind(); err != nil {
		return Hello{}, err
	}
	s, err := l.endpointOf(peer).dialAnew(ctx)
	if err != nil {
		return Hello{}, err
	}
	return s.peerHello, nil
}

// closeIdleSessions closes sessions that this side dialed and that are idle, or replaced and
// without streams, and forgets links that hold nothing.
func (l *Linker) closeIdleSessions(now time.Time) {
	l.mu.Lock()
	var closing []*session
	for s := range l.sessions {
		if age := s.idleTime(now); s.dialed && (age > l.Idle || age > 0 && s.replaced.Load()) {
			closing = append(closing, s)
		}
	}
	for addr, e := range l.endpoints {
		if e.isUnused(now) {
			delete(l.endpoints, addr)
		}
	}
	l.mu.Unlock()
	for _, s := range closing {
		s.closedByUs.Store(true)
		_ = s.mux.GoAway()
		_ = s.mux.Close()
	}
}

func (l *Linker) reportLostPeer(peer netip.AddrPort, err error) {
	if l.Lost != nil && l.ctx.Err() == nil {
		l.Lost(peer, err)
	}
}

// backoffDelay returns the time before the next dial after fails failures in a row:
// exponential, with jitter of half.
func (l *Linker) backoffDelay(failures int) time.Duration {
	d := min(minBackoff<<min(failures-1, 10), l.Backoff)
	return d/2 + rand.N(d/2+1)
}

// yamuxLogger passes the log lines of yamux on at level debug: every cause that
// matters also ends a session, which is reported as an error.
type yamuxLogger struct{}

func (yamuxLogger) Print(v ...any)                 { log.Debug().Msg("fleet: " + fmt.Sprint(v...)) }
func (yamuxLogger) Printf(format string, v ...any) { log.Debug().Msgf("fleet: "+format, v...) }
func (yamuxLogger) Println(v ...any) {
	log.Debug().Msg("fleet: " + strings.TrimSuffix(fmt.Sprintln(v...), "\n"))
}
