package registrar

import (
	"context"
	"net"
	"sync"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

// sender sends control messages to one neighbour on one long-lived stream.
type sender struct {
	links     Links
	neighbour Member
	queue     chan *messenger.Control
	reopen    chan struct{} // Asks for a new stream.
	cancel    context.CancelFunc
}

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

// sendMessage writes m to conn, which it opens when nil, and returns the connection
// for the next message.
func (s *sender) sendMessage(ctx context.Context, conn net.Conn, m *messenger.Control) net.Conn {
	if conn == nil {
		c, err := s.links.Open(ctx, s.neighbour.Peer, linker.Control)
		if err != nil {
			log.Debug().Str("instance", s.neighbour.Name).Err(err).Msg("fleet: neighbour not reached")
			return nil
		}
		conn = c
	}
	if err := messenger.Write(conn, m); err != nil {
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
