package connector_test

import (
	"io"
	"runtime"
	"testing"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/standin/certifier"
)

var encryptionModes = []struct {
	name  string
	plain bool
}{{"plain", true}, {"tls", false}}

// startPair runs two Connectors until the benchmark ends.
func startPair(b *testing.B, plain bool) (a, peer *connector.Connector) {
	var files parser.TLS
	if !plain {
		files = issueKeyFiles(b, b.TempDir(), &certifier.CertificateAuthority{})
	}
	a = &connector.Connector{Name: "x", Plain: plain, TLS: files}
	peer = &connector.Connector{Name: "y", Plain: plain, TLS: files}
	startConnector(b, a)
	startConnector(b, peer)
	return a, peer
}

// BenchmarkRoundTrip measures sending 64 bytes and receiving them back on an open
// stream.
func BenchmarkRoundTrip(b *testing.B) {
	for _, mode := range encryptionModes {
		b.Run(mode.name, func(b *testing.B) {
			a, peer := startPair(b, mode.plain)
			c, err := a.OpenStream(b.Context(), peer.Addr(), connector.CallStream)
			if err != nil {
				b.Fatal(err)
			}
			message := make([]byte, 64)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(message); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(c, message); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkOpenStream measures opening a stream, one round trip and closing.
func BenchmarkOpenStream(b *testing.B) {
	for _, mode := range encryptionModes {
		b.Run(mode.name, func(b *testing.B) {
			a, peer := startPair(b, mode.plain)
			message := make([]byte, 64)
			b.ReportAllocs()
			for b.Loop() {
				c, err := a.OpenStream(b.Context(), peer.Addr(), connector.CallStream)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = c.Write(message)
				if _, err := io.ReadFull(c, message); err != nil {
					b.Fatal(err)
				}
				_ = c.Close()
			}
		})
	}
}

// BenchmarkSessionMemory measures the heap and stack that each end of an idle
// session uses.
func BenchmarkSessionMemory(b *testing.B) {
	for _, mode := range encryptionModes {
		b.Run(mode.name, func(b *testing.B) {
			a, peer := startPair(b, mode.plain)
			const n = 200
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				for range n {
					if _, err := a.Redial(b.Context(), peer.Addr()); err != nil {
						b.Fatal(err)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				heap := float64(after.HeapAlloc) - float64(before.HeapAlloc)
				stack := float64(after.StackInuse) - float64(before.StackInuse)
				b.ReportMetric(heap/(2*n), "heap-B/end")
				b.ReportMetric(stack/(2*n), "stack-B/end")
			}
		})
	}
}
