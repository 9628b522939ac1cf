package connector

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync/atomic"
)

// byteCounter counts bytes in each direction.
type byteCounter struct{ in, out atomic.Uint64 }

func (b *byteCounter) snapshot() ByteCount { return ByteCount{In: b.in.Load(), Out: b.out.Load()} }

// ByteCount is the number of bytes received (In) and sent (Out).
type ByteCount struct{ In, Out uint64 }

// SessionStats describes one session.
type SessionStats struct {
	PeerName    string         // Name of the instance at the other end.
	PeerAddr    netip.AddrPort // Address that was dialed, or that the peer announced; zero when unknown.
	Dialed      bool           // Whether this side opened the connection.
	OpenStreams int
	WireBytes   ByteCount // Bytes on the TCP connection, including TLS and yamux.
}

// Stats holds the byte counts of a Connector since its start and its open sessions.
type Stats struct {
	BytesByKind     map[StreamKind]ByteCount // Bytes written to and read from streams, without the byte that gives the kind.
	WireBytes       ByteCount                // Bytes on all TCP connections, including TLS and yamux, without TCP and IP headers.
	Sessions        []SessionStats
	RefusedSessions uint64 // Number of sessions that this side refused.
}

// Stats returns the current counts and the open sessions.
func (co *Connector) Stats() Stats {
	stats := Stats{BytesByKind: make(map[StreamKind]ByteCount, len(streamKinds)), WireBytes: co.wireByteCount.snapshot(), RefusedSessions: co.refusedSessions.Load()}
	for i, k := range streamKinds {
		stats.BytesByKind[k] = co.kindByteCounts[i].snapshot()
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	for s := range co.sessions {
		stats.Sessions = append(stats.Sessions, SessionStats{
			PeerName: s.peerHello.Name, PeerAddr: s.peerAddr, Dialed: s.dialed, OpenStreams: int(s.openStreams.Load()), WireBytes: s.conn.byteCount.snapshot(),
		})
	}
	return stats
}

// countingConn is a TCP connection that adds its bytes to the counters of its
// session, which owner holds, and to the totals of the Connector.
type countingConn struct {
	net.Conn
	owner *coalescingConn
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.owner.byteCount.in.Add(uint64(n))
	c.owner.totalByteCount.in.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.owner.byteCount.out.Add(uint64(n))
	c.owner.totalByteCount.out.Add(uint64(n))
	return n, err
}

// coalescingConn is the connection that yamux uses. yamux writes the header and
// the body of a data frame separately; coalescingConn joins them into one write,
// which saves a TLS record and a system call per frame. Write needs no lock
// because only the sending goroutine of yamux calls it.
type coalescingConn struct {
	net.Conn
	tcp            net.Conn
	byteCount      byteCounter
	totalByteCount *byteCounter
	pendingFrame   []byte // Header of a data frame whose body is not written yet.
}

const yamuxHeaderBytes = 12 // Version (1), type (1), flags (2), stream ID (4), length (4); see spec.md of yamux.

const maxIdleBufferBytes = 1024 // Larger frame buffers are released after the write, so that idle sessions stay small.

// Write delays the header of a data frame with a body and writes it together
// with the body.
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

// Close closes the TCP connection without sending the TLS close_notify alert.
// Writing the alert can block for 5 s when the peer does not read, and yamux
// fails blocked reads and writes on its streams only after Close returns.
func (c *coalescingConn) Close() error { return c.tcp.Close() }
