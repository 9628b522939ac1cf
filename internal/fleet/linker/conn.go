package linker

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync/atomic"
)

type counter struct{ in, out atomic.Uint64 }

func (c *counter) load() Count { return Count{In: c.in.Load(), Out: c.out.Load()} }

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
	c := Counts{Kinds: make(map[Kind]Count, len(kinds)), Wire: l.wire.load(), Refused: l.refused.Load()}
	for i, k := range kinds {
		c.Kinds[k] = l.counts[i].load()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.sessions {
		c.Sessions = append(c.Sessions, SessionCount{
			Name: s.from.Name, Peer: s.peer, Dialed: s.dialed, Streams: int(s.streams.Load()), Wire: s.conn.count.load(),
		})
	}
	return c
}

// countedConn counts the bytes on the TCP connection.
type countedConn struct {
	net.Conn
	to *conn
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.to.count.in.Add(uint64(n))
	c.to.total.in.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.to.count.out.Add(uint64(n))
	c.to.total.out.Add(uint64(n))
	return n, err
}

// conn is the connection below yamux. It joins the header of a data frame with
// its body, which yamux writes apart: one TLS record and one system call
// instead of two. Only the sending goroutine of yamux writes.
type conn struct {
	net.Conn
	raw   net.Conn
	count counter
	total *counter
	frame []byte // Holds a header that waits for its body.
}

const headerSize = 12 // Version, type, flags (2), stream (4), length (4); yamux spec.md.

const maxKept = 1024 // Largest frame buffer in bytes that an idle session keeps.

func (c *conn) Write(p []byte) (int, error) {
	if len(c.frame) == 0 {
		if len(p) == headerSize && p[1] == 0 && binary.BigEndian.Uint32(p[8:]) > 0 {
			c.frame = append(c.frame, p...)
			return len(p), nil
		}
		return c.Conn.Write(p)
	}
	c.frame = append(c.frame, p...)
	n, err := c.Conn.Write(c.frame)
	c.frame = c.frame[:0]
	if cap(c.frame) > maxKept {
		c.frame = nil
	}
	return max(n-headerSize, 0), err
}

// Close closes the TCP connection without the closing alert of TLS: writing the
// alert can block for 5 s on a silent connection, and yamux wakes its streams
// only after Close.
func (c *conn) Close() error { return c.raw.Close() }
