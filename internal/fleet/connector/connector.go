package connector

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

// ProtocolVersion is the major version of the protocol between instances. Sessions
// with an instance of another version are refused.
const ProtocolVersion = 1

// Errors of a Connector.
var (
	// ErrClosed reports that the context of Run is done.
	ErrClosed = errors.New("linker is closed")
	// ErrRefused reports a session that this side refused: the TLS handshake
	// failed, the Hello was invalid or announced another protocol version, or too
	// many handshakes were in progress.
	ErrRefused = errors.New("session is refused")
	// ErrDial reports that no session to an address could be set up.
	ErrDial = errors.New("instance cannot be reached")
)

// Connector keeps the sessions of one instance to others. The exported fields must
// be set before Bind, Run, OpenStream or Redial is called.
type Connector struct {
	Name            string
	Incarnation     uint64 // Start time of this process, nanoseconds since 1970.
	Zone            string
	Region          string
	Capacity        float64        // Processor time relative to other instances; 0 when unknown.
	ListenAddr      netip.AddrPort // Address of the listener for other instances; zero means no listener.
	TLS             parser.TLS     // Paths of the key files; unused when Plain is set.
	Plain           bool           // Whether sessions use TCP without TLS.
	Audit           *auditor.Trail
	WrapListener    func(net.Listener) net.Listener      // Wraps the listener; nil means that it is used as it is.
	Handlers        map[StreamKind]Handler               // Handlers of incoming streams; a stream without one is closed.
	OnPeerLost      func(peer netip.AddrPort, err error) // Called after a failed dial or when a session breaks. Must not block; may be nil.
	ProtocolVersion uint32                               // Protocol version to announce and to require; 0 means the constant ProtocolVersion.

	DialTimeout       time.Duration // Limit for the TCP connection, the TLS handshake and the Hello messages together; 0 means 1s.
	KeepaliveInterval time.Duration // Interval of pings on a session; 0 means 2s.
	WriteTimeout      time.Duration // Limit for a write, for the answer to a ping, for opening a stream and for reading its kind; 0 means 3s.
	MaxBackoff        time.Duration // Longest delay between failed dials of one address; 0 means 1s.
	IdleTimeout       time.Duration // Time after which the dialing side closes a session without streams; 0 means 60s.

	bindOnce     sync.Once
	ctx          context.Context
	cancel       context.CancelFunc
	bindErr      error
	listener     net.Listener
	keyFiles     *keyFiles
	yamuxConfig  *yamux.Config
	handshakes   chan struct{} // Semaphore for handshakes of accepted connections.
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
	maxHandshakes = 64                    // Concurrent handshakes of accepted connections.
	minBackoff    = 50 * time.Millisecond // Backoff after the first failed dial.
)

func (co *Connector) init() {
	co.ctx, co.cancel = context.WithCancel(context.Background())
	setDefault(&co.DialTimeout, time.Second)
	setDefault(&co.KeepaliveInterval, 2*time.Second)
	setDefault(&co.WriteTimeout, 3*time.Second)
	setDefault(&co.MaxBackoff, time.Second)
	setDefault(&co.IdleTimeout, time.Minute)
	if co.ProtocolVersion == 0 {
		co.ProtocolVersion = ProtocolVersion
	}
	co.yamuxConfig = yamux.DefaultConfig()
	co.yamuxConfig.KeepAliveInterval = co.KeepaliveInterval
	co.yamuxConfig.ConnectionWriteTimeout = co.WriteTimeout
	co.yamuxConfig.StreamOpenTimeout = co.WriteTimeout
	co.yamuxConfig.StreamCloseTimeout = 10 * time.Second
	co.yamuxConfig.LogOutput, co.yamuxConfig.Logger = nil, yamuxLogger{}
	co.handshakes = make(chan struct{}, maxHandshakes)
	// At most 1 refusal per second is audited, after a burst of 20, because a port
	// scan would otherwise push other entries out of the audit trail.
	co.auditLimiter = rate.NewLimiter(1, 20)
	co.endpoints = make(map[netip.AddrPort]*endpoint)
	co.sessions = make(map[*session]struct{})
	if !co.Plain {
		co.keyFiles = &keyFiles{paths: co.TLS, audit: co.Audit}
		if _, _, co.bindErr = co.keyFiles.loadChanged(); co.bindErr != nil {
			return
		}
	}
	if !co.ListenAddr.IsValid() {
		return
	}
	co.listener, co.bindErr = net.Listen("tcp", co.ListenAddr.String())
	co.bindErr = errors.Wrap(co.bindErr, "linker")
	if co.bindErr == nil && co.WrapListener != nil {
		co.listener = co.WrapListener(co.listener)
	}
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// Bind loads the key files and opens the listener. Calls after the first return
// the result of the first. Run, OpenStream and Redial call Bind.
func (co *Connector) Bind() error {
	co.bindOnce.Do(co.init)
	return co.bindErr
}

// Addr returns the address of the listener, or the zero AddrPort without one. It
// must be called after Bind.
func (co *Connector) Addr() netip.AddrPort {
	if co.listener == nil {
		return netip.AddrPort{}
	}
	return co.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run accepts sessions and closes idle ones until ctx is done. It then closes all
// sessions and waits until all handlers have returned.
func (co *Connector) Run(ctx context.Context) error {
	if err := co.Bind(); err != nil {
		return err
	}
	if co.listener != nil {
		co.tasks.Add(1)
		go co.acceptConns()
	}
	sweep := time.NewTicker(max(co.IdleTimeout/8, 10*time.Millisecond))
	defer sweep.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-sweep.C:
			co.closeIdleSessions(time.Now())
		}
	}
	co.close()
	co.tasks.Wait()
	return nil
}

// close closes the listener and all sessions, and prevents new ones.
func (co *Connector) close() {
	co.mu.Lock()
	co.closed = true
	open := make([]*session, 0, len(co.sessions))
	for s := range co.sessions {
		open = append(open, s)
	}
	co.mu.Unlock()
	co.cancel()
	if co.listener != nil {
		_ = co.listener.Close()
	}
	for _, s := range open {
		_ = s.mux.Close()
	}
}

// acceptConns accepts connections until the Connector is closed. Connections beyond
// maxHandshakes concurrent handshakes are refused.
func (co *Connector) acceptConns() {
	defer co.tasks.Done()
	for co.ctx.Err() == nil {
		conn, err := co.listener.Accept()
		if err != nil {
			if co.ctx.Err() == nil {
				log.Warn().Err(err).Msg("fleet: accepting a connection failed")
				time.Sleep(minBackoff) // Accept fails without delay while no file descriptors are free.
			}
			continue
		}
		select {
		case co.handshakes <- struct{}{}:
		default:
			co.recordRefusal(conn.RemoteAddr().String(), errors.Wrapf(ErrRefused, "more than %d handshakes at once", maxHandshakes))
			_ = conn.Close()
			continue
		}
		if !co.addTask() {
			_ = conn.Close()
			return
		}
		go co.serveConn(conn)
	}
}

// addTask adds a goroutine to those that Run waits for. It returns false if the
// Connector is closed; the goroutine must then not be started.
func (co *Connector) addTask() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.closed {
		return false
	}
	co.tasks.Add(1)
	return true
}

// serveConn sets up a session on an accepted connection and serves its streams.
func (co *Connector) serveConn(conn net.Conn) {
	defer co.tasks.Done()
	s, err := co.newAcceptedSession(conn)
	<-co.handshakes
	if err != nil {
		if co.ctx.Err() == nil {
			co.recordRefusal(conn.RemoteAddr().String(), err)
		}
		return
	}
	if a := s.peerHello.PeerAddr; a.IsValid() {
		co.endpointOf(a).cacheAccepted(s)
	}
	s.serveStreams()
}

// recordRefusal counts a refused session and records it in the audit trail.
func (co *Connector) recordRefusal(remote string, err error) {
	co.refusedSessions.Add(1)
	if co.auditLimiter.Allow() {
		co.Audit.RecordChange(auditor.Change{Component: "fleet", Subject: remote, Cause: err.Error(), Before: "connecting", After: "refused"})
	}
}

// endpointOf returns the cache entry of the address peer and creates it if needed.
func (co *Connector) endpointOf(peer netip.AddrPort) *endpoint {
	co.mu.Lock()
	defer co.mu.Unlock()
	e := co.endpoints[peer]
	if e == nil {
		e = &endpoint{connector: co, addr: peer}
		co.endpoints[peer] = e
	}
	return e
}

// OpenStream opens a stream of kind k to the instance that listens at peer. It
// uses the cached session or dials. If OpenStream returns an error, no handler
// of the peer received data on the stream. The returned connection is a *Stream.
func (co *Connector) OpenStream(ctx context.Context, peer netip.AddrPort, k StreamKind) (net.Conn, error) {
	if err := co.Bind(); err != nil {
		return nil, err
	}
	var err error
	for range 2 { // A cached session may close between the lookup and its use.
		var s *session
		if s, err = co.endpointOf(peer).sessionOrDial(ctx); err != nil {
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
	return nil, errors.Wrapf(err, "opening a stream to %s", peer)
}

// Redial dials peer although a session may be cached, and caches the new session.
// Its success shows that the peer accepts sessions now. It returns the peer's
// Hello.
func (co *Connector) Redial(ctx context.Context, peer netip.AddrPort) (Hello, error) {
	if err := co.Bind(); err != nil {
		return Hello{}, err
	}
	s, err := co.endpointOf(peer).dialAnew(ctx)
	if err != nil {
		return Hello{}, err
	}
	return s.peerHello, nil
}

// closeIdleSessions closes sessions that this side dialed and that had no stream
// for longer than IdleTimeout, or have none and were replaced by a later dial. It
// also removes unused endpoints.
func (co *Connector) closeIdleSessions(now time.Time) {
	co.mu.Lock()
	var closing []*session
	for s := range co.sessions {
		if age := s.idleTime(now); s.dialed && (age > co.IdleTimeout || age > 0 && s.replaced.Load()) {
			closing = append(closing, s)
		}
	}
	for addr, e := range co.endpoints {
		if e.isUnused(now) {
			delete(co.endpoints, addr)
		}
	}
	co.mu.Unlock()
	for _, s := range closing {
		s.closedByUs.Store(true)
		_ = s.mux.GoAway()
		_ = s.mux.Close()
	}
}

// reportLostPeer calls OnPeerLost unless the Connector is closed.
func (co *Connector) reportLostPeer(peer netip.AddrPort, err error) {
	if co.OnPeerLost != nil && co.ctx.Err() == nil {
		co.OnPeerLost(peer, err)
	}
}

// backoffDelay returns the delay before the next dial after a number of
// consecutive failures. The delay starts at minBackoff, doubles with each failure
// up to MaxBackoff, and is shortened by a random part of up to a half.
func (co *Connector) backoffDelay(failures int) time.Duration {
	d := min(minBackoff<<min(failures-1, 10), co.MaxBackoff)
	return d/2 + rand.N(d/2+1)
}

// yamuxLogger writes the log lines of yamux at level debug. Higher levels are not
// needed: a fault that matters also ends the session, which is reported as an
// error.
type yamuxLogger struct{}

func (yamuxLogger) Print(v ...any)                 { log.Debug().Msg("fleet: " + fmt.Sprint(v...)) }
func (yamuxLogger) Printf(format string, v ...any) { log.Debug().Msgf("fleet: "+format, v...) }
func (yamuxLogger) Println(v ...any) {
	log.Debug().Msg("fleet: " + strings.TrimSuffix(fmt.Sprintln(v...), "\n"))
}
