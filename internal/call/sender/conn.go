package sender

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// trackedConn counts the bytes written, which proves that a call did not reach
// the backend server when the count has not moved.
type trackedConn struct {
	net.Conn
	written atomic.Int64
}

func (c *trackedConn) Write(p []byte) (int, error) {
	// Counted before the write: a failed write may have sent part of p.
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

type dialer struct{ net.Dialer }

func (d *dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: c}, nil
}

const dialTimeout = time.Second
