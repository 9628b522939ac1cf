package limiter

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// listener counts the connections that it accepts and refuses those over the limit.
type listener struct {
	net.Listener
	limiter *Limiter
	kind    Kind
}

// Accept returns the next connection that is within the limits.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		conn, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := ln.limiter.admit(conn, ln.kind); c != nil {
			return c, nil
		}
	}
}

// closeBatch is the part of the connections that is closed at once when a listener has
// all it may have, because finding them takes time in proportion to their number.
const closeBatch = 32

// admit adds a connection, for which it closes others if needed. It returns nil, with the
// connection closed, when there are none to be closed.
func (l *Limiter) admit(conn net.Conn, k Kind) *Conn {
	limit := l.maxConns(k)
	if limit > 0 && l.countOf(k) >= limit {
		victims := l.victims(k, false)
		if len(victims) == 0 {
			l.closed[Descriptors].Add(1)
			closeNow(conn)
			return nil
		}
		for _, v := range victims[:min(len(victims), 1+limit/closeBatch)] {
			v.conn.closeFor(Descriptors)
		}
	}
	c := &Conn{Conn: conn, limiter: l, kind: k}
	c.head.isOpen = k != Peers
	c.since.Store(l.now())
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.counts[k]++
	l.mu.Unlock()
	c.hold(connBytes)
	return c
}

func (l *Limiter) countOf(k Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[k]
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	limiter *Limiter
	kind    Kind

	received  atomic.Int64 // Bytes of the request that is read or served.
	since     atomic.Int64 // Start of that request, or of the wait for it.
	served    atomic.Bool  // A request was answered.
	hasRead   atomic.Bool  // Bytes were read since the last answer.
	protected atomic.Int32 // Requests that were read to their end or have a slot.
	writing   atomic.Int64 // Start of the write in progress; 0 without one.
	head      headCounter  // Used by one goroutine at a time, that which reads.

	mu       sync.Mutex
	isClosed bool
	held     atomic.Int64 // Changed with mu held.
}

// hold adds n bytes, which may be negative, to what the connection holds.
func (c *Conn) hold(n int64) {
	c.mu.Lock()
	if !c.isClosed {
		c.held.Add(n)
		c.limiter.held.Add(n)
	}
	c.mu.Unlock()
	if n > 0 && c.limiter.isOver(closeFraction) {
		select {
		case c.limiter.wake <- struct{}{}:
		default:
		}
	}
}

// setHeld sets what the connection holds.
func (c *Conn) setHeld(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isClosed {
		c.limiter.held.Add(n - c.held.Swap(n))
	}
}

// Read reads from the connection and counts the header of a request.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.kind == Peers {
		return n, err
	}
	c.received.Add(int64(n))
	c.hasRead.Store(true)
	if !c.head.isOpen {
		return n, err
	}
	lines := c.head.count(p[:n])
	c.hold(int64(n + lines*fieldBytes))
	if c.head.lines > maxFields+1 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(sweepPeriod))
		_, _ = io.WriteString(c.Conn, fieldsAnswer)
		c.closeFor(Fields)
		return 0, io.EOF
	}
	if c.limiter.isOver(1) && c.held.Load() > smallBytes && c.protected.Load() == 0 {
		c.closeFor(Memory)
		return 0, io.EOF
	}
	return n, err
}

const fieldsAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Write writes to the connection. A write that lasts shows that the client does not read.
func (c *Conn) Write(p []byte) (int, error) {
	if c.kind == Peers {
		return c.Conn.Write(p)
	}
	c.writing.Store(c.limiter.now())
	n, err := c.Conn.Write(p)
	c.writing.Store(0)
	return n, err
}

// Close closes the connection, which then holds nothing.
func (c *Conn) Close() error {
	c.mu.Lock()
	wasClosed := c.isClosed
	c.isClosed = true
	if !wasClosed {
		c.limiter.held.Add(-c.held.Swap(0))
	}
	c.mu.Unlock()
	if !wasClosed {
		l := c.limiter
		l.mu.Lock()
		delete(l.conns, c)
		l.counts[c.kind]--
		l.mu.Unlock()
	}
	return c.Conn.Close()
}

// CloseWrite ends the stream to the client, which net/http does before it closes.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that was not sent.
func (c *Conn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// closeFor closes the connection at once and counts why.
func (c *Conn) closeFor(r Reason) {
	c.limiter.closed[r].Add(1)
	if r != Fields { // Its answer is still to be sent.
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

func closeNow(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// awaitRequest is called when an answer was sent and the next request may begin.
func (c *Conn) awaitRequest() {
	c.served.Store(true)
	c.hasRead.Store(false)
	c.received.Store(0)
	c.since.Store(c.limiter.now())
	if c.head.isHTTP2 { // Handlers of requests that were cancelled may still hold their parts.
		return
	}
	c.head = headCounter{isOpen: true}
	c.setHeld(connBytes)
}

// headCounter counts the lines of the header of an HTTP/1 request.
type headCounter struct {
	isOpen    bool // The header has not ended.
	isHTTP2   bool
	lines     int
	lineBytes int // Length of the line so far, without CR.
}

// count adds the bytes of p up to the end of the header and returns the number of lines
// that ended in them.
func (h *headCounter) count(p []byte) int {
	if h.lines == 0 && h.lineBytes == 0 && bytes.HasPrefix(p, []byte("PRI * ")) {
		h.isOpen, h.isHTTP2 = false, true
		return 0
	}
	before := h.lines
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		line := p
		if end >= 0 {
			line = p[:end]
		}
		h.lineBytes += len(bytes.TrimRight(line, "\r"))
		if end < 0 {
			break
		}
		if h.lineBytes == 0 && h.lines > 0 {
			h.isOpen = false
			break
		}
		h.lines, h.lineBytes, p = h.lines+1, 0, p[end+1:]
	}
	return h.lines - before
}

// stateHook is a ConnState hook that also tells the connection of its state.
type stateHook struct {
	next func(net.Conn, http.ConnState)
}

func (h stateHook) setState(conn net.Conn, s http.ConnState) {
	if c, ok := conn.(*Conn); ok && s == http.StateIdle {
		c.awaitRequest()
	}
	if h.next != nil {
		h.next(conn, s)
	}
}

// connKey is the context key of the Conn of a request.
type connKey struct{}

// addConn is a ConnContext hook.
func addConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}
