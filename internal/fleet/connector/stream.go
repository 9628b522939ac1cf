package connector

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/flow/recoverer"
)

// Stream is a yamux stream that counts its bytes by stream kind.
type Stream struct {
	*yamux.Stream

	session   *session
	byteCount *byteCounter // Counter of the stream's kind; set by setKind before the first Read or Write.
	closeOnce sync.Once
}

// newStream returns a Stream on st and counts it as open until Close.
func (s *session) newStream(st *yamux.Stream) *Stream {
	s.openStreams.Add(1)
	s.lastActivity.Store(time.Now().UnixNano())
	return &Stream{Stream: st, session: s}
}

// PeerHello returns the Hello that the peer sent when the session started.
func (s *Stream) PeerHello() Hello { return s.session.peerHello }

// Read reads from the stream and counts the bytes.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	s.byteCount.in.Add(uint64(n))
	return n, err
}

// Write writes to the stream and counts the bytes.
func (s *Stream) Write(p []byte) (int, error) {
	n, err := s.Stream.Write(p)
	s.byteCount.out.Add(uint64(n))
	return n, err
}

// Close closes the sending direction; the peer then reads io.EOF. A second call
// does not change the number of open streams.
func (s *Stream) Close() error {
	s.closeOnce.Do(s.recordClose)
	return s.Stream.Close()
}

func (s *Stream) recordClose() {
	s.session.lastActivity.Store(time.Now().UnixNano())
	s.session.openStreams.Add(-1)
}

func (s *Stream) setKind(k StreamKind) { s.byteCount = &s.session.connector.kindByteCounts[k.index()] }

// serve reads the kind of an incoming stream and passes the stream to the handler
// of that kind.
func (s *Stream) serve() {
	co := s.session.connector
	defer co.tasks.Done()
	defer s.close()
	defer recoverer.Catch("stream of "+s.session.peerHello.Name, nil)
	var b [1]byte
	_ = s.SetReadDeadline(time.Now().Add(co.WriteTimeout))
	if _, err := s.Stream.Read(b[:]); err != nil {
		return
	}
	_ = s.SetReadDeadline(time.Time{})
	k := StreamKind(b[0])
	h := co.Handlers[k]
	if h == nil || k.index() < 0 {
		log.Warn().Str("instance", s.session.peerHello.Name).Uint8("kind", b[0]).Msg("fleet: closing a stream of unknown kind")
		return
	}
	s.setKind(k)
	h.ServeStream(s.session.peerHello, s)
}

func (s *Stream) close() { _ = s.Close() }
