package linker

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/phuslu/log"
)

// Stream is one stream of a session; it counts the bytes of its kind.
type Stream struct {
	*yamux.Stream

	sess  *session
	count *counter
	once  sync.Once
}

func (s *session) wrap(st *yamux.Stream) *Stream {
	s.streams.Add(1)
	s.last.Store(time.Now().UnixNano())
	return &Stream{Stream: st, sess: s}
}

// From returns what the peer said of itself when the session started.
func (s *Stream) From() Hello { return s.sess.from }

// Read reads from the stream.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	s.count.in.Add(uint64(n))
	return n, err
}

// Write writes to the stream.
func (s *Stream) Write(p []byte) (int, error) {
	n, err := s.Stream.Write(p)
	s.count.out.Add(uint64(n))
	return n, err
}

// Close closes the sending direction; the peer reads the end of the stream.
func (s *Stream) Close() error {
	s.once.Do(s.leave)
	return s.Stream.Close()
}

func (s *Stream) leave() {
	s.sess.last.Store(time.Now().UnixNano())
	s.sess.streams.Add(-1)
}

func (s *Stream) setKind(k Kind) { s.count = &s.sess.linker.counts[k.index()] }

// run reads the kind of an incoming stream and serves it.
func (s *Stream) run() {
	l := s.sess.linker
	defer l.tasks.Done()
	defer s.close()
	var b [1]byte
	_ = s.SetReadDeadline(time.Now().Add(l.Write))
	if _, err := s.Stream.Read(b[:]); err != nil {
		return
	}
	_ = s.SetReadDeadline(time.Time{})
	k := Kind(b[0])
	h := l.Handlers[k]
	if h == nil || k.index() < 0 {
		log.Warn().Str("instance", s.sess.from.Name).Uint8("kind", b[0]).Msg("fleet: stream of unknown kind")
		return
	}
	s.setKind(k)
	h.Serve(s.sess.from, s)
}

func (s *Stream) close() { _ = s.Close() }
