package sender

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

var (
	errUnsolicited = errors.New("the backend server sent bytes before the call was written")
	errSealed      = errors.New("the attempt has ended")
)

// trackedConn counts the bytes written, which proves that a call did not reach
// the backend server when the count has not moved. It also finds out when the
// connection may carry the next exchange: when the exchange has ended and the
// HTTP reader asks for more bytes. A reader that still holds bytes beyond the
// answer does not ask, so these never become the answer to the next call.
type trackedConn struct {
	net.Conn
	clean func() // Called when the connection may be used again.
	gone  func() // Called once when the connection is closed.

	written atomic.Int64
	sealed  atomic.Bool
	closing sync.Once

	mu       sync.Mutex
	before   int64 // Bytes written before the exchange.
	answered bool  // At least one byte of the answer has arrived.
	waiting  bool  // A Read is in progress.
	ended    bool  // The exchange has ended, and no other has begun.
	idle     bool  // clean was called since.
}

// Write counts p before it is written: a failed write may have sent part of p.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	if c.sealed.Load() {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

// Read returns errUnsolicited for bytes that arrive before the exchange wrote any.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.mark(&c.waiting) {
		c.clean()
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if n == 0 {
		return n, err
	}
	if c.written.Load() == c.before {
		return 0, errUnsolicited
	}
	c.answered = true
	return n, err
}

// Close closes the connection and removes it from its pool.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(c.gone)
	return err
}

func (c *trackedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.before = c.written.Load()
	c.answered, c.ended, c.idle = false, false, false
}

// end marks the exchange as complete: its whole answer was read.
func (c *trackedConn) end() {
	if c.mark(&c.ended) {
		c.clean()
	}
}

// mark sets flag and reports whether the connection just became usable again.
func (c *trackedConn) mark(flag *bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	*flag = true
	if !c.waiting || !c.ended || c.idle {
		return false
	}
	c.idle, c.before = true, c.written.Load()
	return true
}

// heard reports whether any byte of an answer arrived.
func (c *trackedConn) heard() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered
}

// seal stops all further writes and reports whether the exchange wrote any
// byte and whether any byte of an answer arrived. A Write that is in progress
// either was counted or finds the connection sealed.
func (c *trackedConn) seal() (wrote, answered bool) {
	c.sealed.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written.Load() != c.before, c.answered
}
