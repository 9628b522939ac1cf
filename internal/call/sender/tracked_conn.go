package sender

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

var (
	errUnsolicited  = errors.New("the backend server sent bytes before the call was written")
	errAttemptEnded = errors.New("the attempt has ended")
)

// trackedConn counts the bytes written: when an exchange has written none, the
// call cannot have reached the backend server. It also determines when the
// connection may be reused: when the exchange has ended and the HTTP client has
// called Read again. A client that still buffers bytes after the response does
// not call Read, so these bytes never become the response to the next call.
//
// The kernel reports the failure of a connection once. When a Write gets it, a Read finds
// an ordinary end of the stream, which would complete a body without a length. Read
// therefore returns the failure of a Write in place of io.EOF.
type trackedConn struct {
	net.Conn
	onReusable func() // Called when the connection may be reused.
	onClosed   func() // Called once when the connection is closed.

	bytesWritten  atomic.Int64 // Over all exchanges.
	bytesRead     atomic.Int64 // Over all exchanges.
	writesStopped atomic.Bool
	closeOnce     sync.Once

	writeMu  sync.Mutex // Held during a Write.
	writeErr error      // First error of a Write; guarded by writeMu.

	mu              sync.Mutex
	writtenBefore   int64 // Value of bytesWritten when the connection became reusable or the exchange began, whichever was last.
	gotResponseByte bool  // At least one byte of the response has arrived.
	reading         bool  // A Read is in progress.
	exchangeEnded   bool  // The exchange has ended, and the next has not begun.
	reusable        bool  // onReusable was called since the exchange began.
	oldHead         oldHead
}

// Write counts the bytes of p before it writes them, because a failed write may
// have sent some of them.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.bytesWritten.Add(int64(len(p)))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writesStopped.Load() {
		return 0, errAttemptEnded
	}
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endError returns io.EOF if the backend server has ended the stream, and otherwise the
// error of the Write that learned why the connection failed.
func (c *trackedConn) endError() error {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // A Write in progress returns with what it has learned.
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) || errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return io.EOF // EPIPE is the answer to a write after the end of the stream has arrived.
	}
	return errors.Wrap(c.writeErr, "connection failed before the end of the response")
}

// Read returns errUnsolicited for bytes that arrive before the exchange has
// written any.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.setAndCheckReusable(&c.reading) {
		c.onReusable()
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endError()
	}
	c.bytesRead.Add(int64(n))
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
	c.oldHead.add(p[:n])
	return n, err
}

// Close closes the connection and removes it from its pool.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.onClosed)
	return err
}

// beginExchange resets the state of the connection for a new exchange.
func (c *trackedConn) beginExchange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writtenBefore = c.bytesWritten.Load()
	c.gotResponseByte, c.exchangeEnded, c.reusable = false, false, false
	c.oldHead = oldHead{}
}

// endExchange marks the exchange as ended: its whole response was read.
func (c *trackedConn) endExchange() {
	if c.setAndCheckReusable(&c.exchangeEnded) {
		c.onReusable()
	}
}

// setAndCheckReusable sets flag, which is c.reading or c.exchangeEnded, and
// reports whether this made the connection reusable.
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

// hasResponseByte reports whether any byte of the response has arrived.
func (c *trackedConn) hasResponseByte() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gotResponseByte
}

// hasOldEncoding reports whether the response has a transfer encoding and is of HTTP/1.0.
func (c *trackedConn) hasOldEncoding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.oldHead.hasEncoding()
}

// stopWrites makes all further writes fail and reports whether the exchange
// wrote any byte and whether any byte of the response arrived. A concurrent
// Write is either counted in the result or fails with errAttemptEnded.
func (c *trackedConn) stopWrites() (wrote, gotResponseByte bool) {
	c.writesStopped.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesWritten.Load() != c.writtenBefore, c.gotResponseByte
}
