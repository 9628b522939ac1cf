package acquirer_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/route/acquirer"
)

// remoteFleet is a fleet with a single home, which is reached over yamux on loopback TCP.
type remoteFleet struct {
	session *yamux.Session
	home    registrar.Member
}

func (r *remoteFleet) UsableMembers(string, string) []registrar.Member {
	return []registrar.Member{r.home}
}
func (r *remoteFleet) ReportFailure(string) {}

func (r *remoteFleet) OpenStream(context.Context, netip.AddrPort, connector.StreamKind) (net.Conn, error) {
	return r.session.Open()
}

// dialHome opens a yamux session on which home serves grant streams.
func dialHome(b *testing.B, home *instance) *remoteFleet {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go serveHome(l, home)
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	s, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Close() })
	return &remoteFleet{session: s, home: home.member}
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	return c
}

// serveHome accepts one session and serves its grant streams by the Allocator of home.
func serveHome(l net.Listener, home *instance) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	s, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		return
	}
	for {
		stream, err := s.Accept()
		if err != nil {
			return
		}
		go home.Allocator.ServeStream("entry", stream)
	}
}

var benchRequest = acquirer.Request{Service: "guidance"}

// benchParallelAcquire measures Acquire and Release from parallel goroutines.
func benchParallelAcquire(b *testing.B, a *acquirer.Client) {
	b.Helper()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n := benchRequest
			n.Deadline = time.Now().Add(time.Second)
			s, err := a.Acquire(b.Context(), n)
			if err != nil {
				b.Error(err)
				return
			}
			s.Release(acquirer.Result{ReportedCalls: -1, Latency: time.Millisecond})
		}
	})
}

// BenchmarkAcquire measures Acquire and Release with the home on this instance and
// over yamux on loopback TCP, with 1 call at a time and with 10 per core.
func BenchmarkAcquire(b *testing.B) {
	for _, bc := range []struct {
		name   string
		remote bool
	}{{"local", false}, {"yamux", true}} {
		f := newFleet([]string{"a"}, 2, 20, 2)
		entry := &f.instances[0].Client
		if bc.remote {
			r := dialHome(b, f.instances[1])
			entry.Fleet, entry.StreamOpener = r, r
		} else {
			entry.Fleet = nil
		}
		b.Run(bc.name+"/one", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				n := benchRequest
				n.Deadline = time.Now().Add(time.Second)
				s, err := entry.Acquire(b.Context(), n)
				if err != nil {
					b.Fatal(err)
				}
				s.Release(acquirer.Result{ReportedCalls: -1, Latency: time.Millisecond})
			}
		})
		b.Run(bc.name+"/parallel", func(b *testing.B) {
			b.SetParallelism(10)
			benchParallelAcquire(b, entry)
		})
	}
}
