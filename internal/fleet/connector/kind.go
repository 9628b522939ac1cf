package connector

import (
	"net"
	"net/netip"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

// StreamKind is the first byte of a stream. It says what the stream carries.
type StreamKind byte

// Kinds of streams.
const (
	ControlStream StreamKind = 'c' // Messages of messenger.Control.
	GrantStream   StreamKind = 'g' // Messages of messenger.Grant.
	CallStream    StreamKind = 'h' // Calls forwarded to another instance as HTTP/1.1.
	FeedStream    StreamKind = 'f' // Records of the platform's store: one messenger.Subscribe, then messages of messenger.Feed.
)

var streamKinds = [...]StreamKind{ControlStream, GrantStream, CallStream, FeedStream}

// String returns the name that metrics and logs use for k.
func (k StreamKind) String() string {
	switch k {
	case ControlStream:
		return "control"
	case GrantStream:
		return "grant"
	case CallStream:
		return "call"
	case FeedStream:
		return "feed"
	}
	return "unknown"
}

// index returns the position of k in streamKinds, or -1 for an unknown kind.
func (k StreamKind) index() int {
	for i, x := range streamKinds {
		if x == k {
			return i
		}
	}
	return -1
}

// Hello is what an instance announces about itself when a session starts.
type Hello struct {
	Version     uint32 // Major version of the protocol between instances.
	Name        string
	Incarnation uint64 // Start time of the instance's process, nanoseconds since 1970.
	Zone        string
	Region      string
	PeerAddr    netip.AddrPort // Address of its listener for other instances; zero when unknown.
	Capacity    float64        // Processor time relative to other instances; 0 when unknown.
}

func (h Hello) toMessage() *messenger.Hello {
	m := &messenger.Hello{
		Version: h.Version, Name: h.Name, Incarnation: h.Incarnation, Zone: h.Zone, Region: h.Region, Capacity: h.Capacity,
	}
	if h.PeerAddr.IsValid() {
		m.Peer, _ = h.PeerAddr.MarshalBinary()
	}
	return m
}

func parseHello(m *messenger.Hello) (Hello, error) {
	h := Hello{
		Version: m.GetVersion(), Name: m.GetName(), Incarnation: m.GetIncarnation(),
		Zone: m.GetZone(), Region: m.GetRegion(), Capacity: m.GetCapacity(),
	}
	if len(m.GetPeer()) == 0 {
		return h, nil
	}
	return h, h.PeerAddr.UnmarshalBinary(m.GetPeer())
}

// Handler serves the incoming streams of one kind.
type Handler interface {
	// ServeStream serves one stream from the instance that sent the Hello. The
	// stream is closed when ServeStream returns.
	ServeStream(from Hello, conn net.Conn)
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(from Hello, conn net.Conn)

// ServeStream calls f(from, conn).
func (f HandlerFunc) ServeStream(from Hello, conn net.Conn) { f(from, conn) }
