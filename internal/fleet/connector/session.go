package connector

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

// maxHelloBytes is the size limit of a Hello. It bounds the memory that a peer can
// use before its protocol version is known.
const maxHelloBytes = 1024

// session is a yamux session to another instance. Both sides open streams on it.
type session struct {
	connector *Connector
	mux       *yamux.Session
	conn      *coalescingConn
	peerHello Hello
	peerAddr  netip.AddrPort // Address that was dialed, or that the peer announced; zero when unknown.
	dialed    bool           // Whether this side opened the connection.

	openStreams  atomic.Int64
	lastActivity atomic.Int64 // Time when a stream was last opened or closed, nanoseconds since 1970.
	closedByUs   atomic.Bool  // Closed by closeIdleSessions, so its end is not a failure.

	replaced atomic.Bool // Replaced in the cache by a later dial.
}

// newDialedSession sets up a session on a connection that this side dialed: TLS
// handshake, yamux, Hello messages.
func (co *Connector) newDialedSession(tcp net.Conn, peer netip.AddrPort) (*session, error) {
	_ = tcp.SetDeadline(time.Now().Add(co.DialTimeout))
	s := &session{connector: co, peerAddr: peer, dialed: true, conn: &coalescingConn{tcp: tcp, totalByteCount: &co.wireByteCount}}
	s.conn.Conn = net.Conn(&countingConn{tcp, s.conn})
	if !co.Plain {
		tlsConn := tls.Client(s.conn.Conn, co.keyFiles.clientConfig())
		if err := tlsConn.Handshake(); err != nil {
			_ = tcp.Close()
			if errors.Is(err, ErrRefused) {
				co.recordRefusal(peer.String(), err)
			}
			return nil, errors.Wrapf(ErrDial, "tls: %v", err)
		}
		s.conn.Conn = tlsConn
	}
	var err error
	if s.mux, err = yamux.Client(s.conn, co.yamuxConfig); err != nil {
		_ = tcp.Close()
		return nil, errors.Wrap(err, "session")
	}
	st, err := s.mux.OpenStream()
	if err != nil {
		_ = s.mux.Close()
		return nil, errors.Wrapf(ErrDial, "hello: %v", err)
	}
	return s, s.exchangeHelloAndRegister(st, true)
}

// newAcceptedSession sets up a session on a connection that a peer dialed.
func (co *Connector) newAcceptedSession(tcp net.Conn) (*session, error) {
	_ = tcp.SetDeadline(time.Now().Add(co.DialTimeout))
	s := &session{connector: co, conn: &coalescingConn{tcp: tcp, totalByteCount: &co.wireByteCount}}
	s.conn.Conn = net.Conn(&countingConn{tcp, s.conn})
	if !co.Plain {
		tlsConn := tls.Server(s.conn.Conn, co.keyFiles.serverConfig())
		if err := tlsConn.Handshake(); err != nil {
			_ = tcp.Close()
			return nil, errors.Wrapf(ErrRefused, "tls: %v", err)
		}
		s.conn.Conn = tlsConn
	}
	var err error
	if s.mux, err = yamux.Server(s.conn, co.yamuxConfig); err != nil {
		_ = tcp.Close()
		return nil, errors.Wrap(err, "session")
	}
	st, err := s.mux.AcceptStream()
	if err != nil {
		_ = s.mux.Close()
		return nil, errors.Wrapf(ErrRefused, "hello: %v", err)
	}
	return s, s.exchangeHelloAndRegister(st, false)
}

// exchangeHelloAndRegister exchanges Hello messages on the first stream, checks the
// peer's protocol version and registers the session. Each side sends its Hello
// before it checks the other's, so that both sides can report why the session is
// refused. On error the session is closed.
func (s *session) exchangeHelloAndRegister(st *yamux.Stream, dialed bool) error {
	co := s.connector
	_ = st.SetDeadline(time.Now().Add(co.DialTimeout))
	err := s.exchangeHello(st, dialed)
	if err == nil && s.peerHello.Version != co.ProtocolVersion {
		err = errors.Wrapf(ErrRefused, "version %d of instance %q, want %d", s.peerHello.Version, s.peerHello.Name, co.ProtocolVersion)
	}
	if err == nil {
		_ = s.conn.tcp.SetDeadline(time.Time{})
		s.lastActivity.Store(time.Now().UnixNano())
		if !dialed {
			s.peerAddr = s.peerHello.PeerAddr
		}
		co.mu.Lock()
		if co.closed {
			err = ErrClosed
		} else {
			co.sessions[s] = struct{}{}
		}
		co.mu.Unlock()
	}
	if err != nil {
		if dialed && errors.Is(err, ErrRefused) && co.ctx.Err() == nil {
			co.recordRefusal(s.peerAddr.String(), err)
		}
		_ = st.Close()
		_ = s.mux.Close()
		return err
	}
	return errors.Wrap(st.Close(), "hello")
}

// exchangeHello sends the Hello of this instance and reads that of the peer. The
// dialing side sends first.
func (s *session) exchangeHello(st *yamux.Stream, dialed bool) error {
	co := s.connector
	own := Hello{
		Version: co.ProtocolVersion, Name: co.Name, Incarnation: co.Incarnation, Zone: co.Zone, Region: co.Region, PeerAddr: co.Addr(), Capacity: co.Capacity,
	}
	if own.PeerAddr.Addr().IsUnspecified() {
		own.PeerAddr = netip.AddrPort{}
	}
	if dialed {
		if err := messenger.WriteMessage(st, own.toMessage()); err != nil {
			return errors.Wrapf(ErrDial, "hello: %v", err)
		}
	}
	m := new(messenger.Hello)
	err := messenger.ReadLimitedMessage(bufio.NewReaderSize(st, maxHelloBytes), m, maxHelloBytes)
	if err == nil {
		s.peerHello, err = parseHello(m)
	}
	if err == nil && !dialed {
		// A peer that refuses this version may close the session before the write
		// returns. The error of the write is ignored then, because the different
		// version is the reason for the refusal.
		if err = messenger.WriteMessage(st, own.toMessage()); s.peerHello.Version != co.ProtocolVersion {
			err = nil
		}
	}
	switch {
	case err == nil:
		return nil
	case dialed && s.mux.IsClosed():
		_, cause := s.mux.AcceptStream() // Returns the error that ended the session, for example a TLS alert.
		return errors.Wrapf(ErrDial, "hello: %v", cause)
	case dialed && !errors.Is(err, messenger.ErrInvalidMessage):
		return errors.Wrapf(ErrDial, "hello: %v", err)
	}
	return errors.Wrapf(ErrRefused, "hello: %v", err)
}

// serveStreams serves the streams that the peer opens until the session ends. It
// then removes the session and reports the peer as lost, unless this side closed
// the session as idle, or the session was idle for so long that the peer probably
// closed it.
func (s *session) serveStreams() {
	co := s.connector
	var err error
	for {
		var st *yamux.Stream
		if st, err = s.mux.AcceptStream(); err != nil {
			break
		}
		if !co.addTask() {
			err = ErrClosed
			break
		}
		go s.newStream(st).serve()
	}
	wasIdle := s.openStreams.Load() == 0 && s.idleTime(time.Now()) > co.IdleTimeout/2
	_ = s.mux.Close()
	co.mu.Lock()
	delete(co.sessions, s)
	e := co.endpoints[s.peerAddr]
	co.mu.Unlock()
	if e != nil {
		e.dropSession(s)
	}
	if s.peerAddr.IsValid() && !wasIdle && !s.closedByUs.Load() {
		co.reportLostPeer(s.peerAddr, errors.Wrapf(err, "session with instance %q", s.peerHello.Name))
	}
}

// idleTime returns for how long the session has had no open stream.
func (s *session) idleTime(now time.Time) time.Duration {
	if s.openStreams.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, s.lastActivity.Load()))
}

// streamOpening is a stream that is being opened. The fields stream and err are
// set before done is closed.
type streamOpening struct {
	session *session
	kind    StreamKind
	done    chan struct{}
	stream  *Stream
	err     error
}

// openStream opens a stream of kind k, or returns when ctx is done. It calls yamux
// in a separate goroutine because OpenStream and Write take no context and can
// block until the session fails.
func (s *session) openStream(ctx context.Context, k StreamKind) (*Stream, error) {
	opening := &streamOpening{session: s, kind: k, done: make(chan struct{})}
	if !s.connector.addTask() {
		return nil, ErrClosed
	}
	go opening.openStream(ctx)
	select {
	case <-opening.done:
		return opening.stream, opening.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// openStream opens the stream and sends the byte that gives its kind.
func (s *streamOpening) openStream(ctx context.Context) {
	defer s.session.connector.tasks.Done()
	defer close(s.done)
	st, err := s.session.mux.OpenStream()
	if err != nil {
		s.err = err
		return
	}
	s.stream = s.session.newStream(st)
	s.stream.setKind(s.kind)
	if _, s.err = st.Write([]byte{byte(s.kind)}); s.err == nil {
		s.err = ctx.Err()
	}
	if s.err != nil {
		_ = s.stream.Close()
		s.stream = nil
	}
}
