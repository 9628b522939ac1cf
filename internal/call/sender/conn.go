package sender

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

var (
	errUnsolicited  = errors.New("the backend server sent bytes before the call was written")
	errAttemptEnded = errors.New("the attempt has ended")
)

// trackedConn counts the bytes written, which proves that a call did not reach
// the backend server when the count has not moved. It also finds out when the
// connection may carry the next exchange: when the exchange has ended and the
// HTTP reader asks for more bytes. A reader that still holds bytes beyond the
// answer does not ask, so these never become the answer to the next call.
type trackedConn struct {
	net.Conn
	onReusable func() // Called when the connection may be used again.
	onClosed   func() // Called once when the connection is closed.

	bytesWritten  atomic.Int64
	writesStopped atomic.Bool
	closeOnce     sync.Once

	mu              sync.Mutex
	writtenBefore   int64 // Bytes written before the exchange.
	gotResponseByte bool  // At least one byte of the answer has arrived.
	reading         bool  // A Read is in progress.
	exchangeEnded   bool  // The exchange has ended, and no other has begun.
	reusable        bool  // clean was called since.
}

// Write counts p before it is written: a failed write may have sent part of p.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.bytesWritten.Add(int64(len(p)))
	if c.writesStopped.Load() {
		return 0, errAttemptEnded
	}
	return c.Conn.Write(p)
}

// Read returns errUnsolicited for bytes that arrive before the exchange wrote any.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.setAndCheckReusable(&c.reading) {
		c.onReusable()
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n == 0 {
		return n, err
	}
	if c.bytesWritten.Load() == c.writtenBefore {
		return 0, errUnsolicited
	}
	c.gotResponseByte = true
	return n, err
}

// Close closes the connection and removes it from its pool.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.onClosed)
	return err
}

func (c *trackedConn) beginExchange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writtenBefore = c.bytesWritten.Load()
	c.gotResponseByte, c.exchangeEnded, c.reusable = false, false, false
}

// endExchange marks the exchange as complete: its whole answer was read.
func (c *trackedConn) endExchange() {
	if c.setAndCheckReusable(&c.exchangeEnded) {
		c.onReusable()
	}
}

// setAndCheckReusable sets flag and reports whether the connection just became usable again.
func (c *trackedConn) setAndCheckReusable(flag *bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	*flag = true
	if !c.reading || !c.exchangeEnded || c.reusable {
		return false
	}
	c.reusable, c.writtenBefore = true, c.bytesWritten.Load()
	return true
}

// hasResponseByte reports whether any byte of an answer arrived.
func (c *trackedConn) hasResponseByte() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gotResponseByte
}

// stopWrites stops all further writes and reports whether the exchange wrote any
// byte and whether any byte of an answer arrived. A Write that is in progress
// either was counted or finds the connection sealed.
func (c *trackedConn) stopWrites() (wrote, gotResponseByte bool) {
	c.writesStopped.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesWritten.Load() != c.writtenBefore, c.gotResponseByte
}
