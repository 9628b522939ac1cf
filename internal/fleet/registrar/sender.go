package registrar

import (
	"context"
	"net"
	"sync"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

// sender sends control messages to one neighbour on a long-lived stream, which it
// opens for the first message and again after an error.
type sender struct {
	streamOpener StreamOpener
	neighbour    Member
	queue        chan *messenger.Control
	reopen       chan struct{} // Requests that the next message opens a new stream.
	cancel       context.CancelFunc
}

// run sends the queued messages until ctx is done.
func (s *sender) run(ctx context.Context, tasks *sync.WaitGroup) {
	defer tasks.Done()
	var conn net.Conn
	for {
		select {
		case <-ctx.Done():
			s.close(conn)
			return
		case <-s.reopen:
			s.close(conn)
			conn = nil
		case m := <-s.queue:
			conn = s.sendMessage(ctx, conn, m)
		}
	}
}

// sendMessage writes m to conn, or to a new stream if conn is nil. It returns the
// stream for the next message, or nil after an error; the message is then lost.
func (s *sender) sendMessage(ctx context.Context, conn net.Conn, m *messenger.Control) net.Conn {
	if conn == nil {
		c, err := s.streamOpener.OpenStream(ctx, s.neighbour.PeerAddr, connector.ControlStream)
		if err != nil {
			log.Debug().Str("instance", s.neighbour.Name).Err(err).Msg("fleet: stream to a neighbour not opened; message dropped")
			return nil
		}
		conn = c
	}
	if err := messenger.WriteMessage(conn, m); err != nil {
		s.close(conn)
		return nil
	}
	return conn
}

func (*sender) close(c net.Conn) {
	if c != nil {
		_ = c.Close()
	}
}
