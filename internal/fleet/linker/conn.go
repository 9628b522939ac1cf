package linker

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync/atomic"
)

type byteCounter struct{ in, out atomic.Uint64 }

func (b *byteCounter) snapshot() Count { return Count{In: b.in.Load(), Out: b.out.Load()} }

// Count is a number of bytes in each direction.
type Count struct{ In, Out uint64 }

// SessionCount describes one session.
type SessionCount struct {
	Name    string // Instance at the other end.
	Peer    netip.AddrPort
	Dialed  bool // This side connected.
	Streams int
	Wire    Count // Bytes of the TCP connection, with TLS and yamux.
}

// Counts are the byte counts of a Linker since its start. Wire includes TLS and
// yamux, but not the headers of TCP and IP; the kinds count what streams carry.
type Counts struct {
	Kinds    map[Kind]Count
	Wire     Count
	Sessions []SessionCount
	Refused  uint64 // Sessions refused by this side.
}

// Counts returns the current counts.
func (l *Linker) Counts() Counts {
	c := Counts{Kinds: make(map[Kind]Count, len(streamKinds)), Wire: l.wireByteCount.snapshot(), Refused: l.refusedSessions.Load()}
	for i, k := range streamKinds {
		c.Kinds[k] = l.kindByteCounts[i].snapshot()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.sessions {
		c.Sessions = append(c.Sessions, SessionCount{
			Name: s.peerHello.Name, Peer: s.peerAddr, Dialed: s.dialed, Streams: int(s.openStreams.Load()), Wire: s.conn.byteCount.snapshot(),
		})
	}
	return c
}

// countingConn counts the bytes on the TCP connection.
type countingConn struct {
	net.Conn
	owner *coalescingConn
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.owner.byteCount.in.Add(uint64(n))
	c.owner.linkerByteCount.in.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.owner.byteCount.out.Add(uint64(n))
	c.owner.linkerByteCount.out.Add(uint64(n))
	return n, err
}

// coalescingConn is the connection below yamux. It joins the header of a data frame with
// its body, which yamux writes apart: one TLS record and one system call
// instead of two. Only the sending goroutine of yamux writes.
type coalescingConn struct {
	net.Conn
	tcp             net.Conn
	byteCount       byteCounter
	linkerByteCount *byteCounter
	pendingFrame    []byte // Holds a header that waits for its body.
}

const yamuxHeaderBytes = 12 // Version, type, flags (2), stream (4), length (4); yamux spec.md.

const maxIdleBufferBytes = 1024 // Largest frame buffer in bytes that an idle session keeps.

func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.pendingFrame) == 0 {
		if len(p) == yamuxHeaderBytes && p[1] == 0 && binary.BigEndian.Uint32(p[8:]) > 0 {
			c.pendingFrame = append(c.pendingFrame, p...)
			return len(p), nil
		}
		return c.Conn.Write(p)
	}
	c.pendingFrame = append(c.pendingFrame, p...)
	n, err := c.Conn.Write(c.pendingFrame)
	c.pendingFrame = c.pendingFrame[:0]
	if cap(c.pendingFrame) > maxIdleBufferBytes {
		c.pendingFrame = nil
	}
	return max(n-yamuxHeaderBytes, 0), err
}

// Close closes the TCP connection without the closing alert of TLS: writing the
// alert can block for 5 s on a silent connection, and yamux wakes its streams
// only after Close.
func (c *coalescingConn) Close() error { return c.tcp.Close() }
