package prober_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/prober"
)

// fakeServer sends the next of its responses on each connection. An empty response
// stands for a server that does not respond; without responses left it refuses
// connections.
type fakeServer struct {
	responses []string
	mu        sync.Mutex
	requests  []string
}

// dial opens a connection in memory, so that the tests run on the fake clock of synctest.
func (f *fakeServer) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	if len(f.responses) == 0 {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	go f.serveConn(server, f.responses[0])
	f.responses = f.responses[1:]
	return client, nil
}

func (f *fakeServer) serveConn(conn net.Conn, response string) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	f.recordRequest(r.Method + " " + r.URL.Path)
	if response == "" {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	_, _ = io.WriteString(conn, response)
}

func (f *fakeServer) recordRequest(request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, request)
}

// withProber runs a prober of one backend server while test runs.
func withProber(t *testing.T, s *fakeServer, test func(p *prober.Prober, results <-chan prober.Result)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		results := make(chan prober.Result, 100)
		p := &prober.Prober{
			InstanceName: "i0", Dial: s.dial, ReportResult: func(f prober.Result) { results <- f },
			CurrentView: func() prober.View { return newView(parser.Probe{}, instanceNames(1), 1) },
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go runProber(ctx, p, done)
		test(p, results)
		stop()
		<-done
	})
}

func runProber(ctx context.Context, p *prober.Prober, done chan<- error) { done <- p.Run(ctx) }

// TestProbeResults guards against results that are lost or parsed wrongly, and
// against a retry after a failed request.
func TestProbeResults(t *testing.T) {
	s := &fakeServer{responses: []string{
		"HTTP/1.1 200 OK\r\nSardine-Load: 1/2\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 503 Full\r\nSardine-Load: x\r\nSardine-Drain: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
	}}
	withProber(t, s, func(_ *prober.Prober, results <-chan prober.Result) {
		for _, want := range []prober.Result{
			{ReportedCalls: 1, ReportedSlots: 2}, {ReportedCalls: -1, ReportedSlots: -1, Failed: true, Drain: true}, {ReportedCalls: -1, ReportedSlots: -1, Failed: true}, {ReportedCalls: -1, ReportedSlots: -1, Failed: true},
		} {
			got := <-results
			want.Service, want.Server, want.Age, want.Latency = "a", got.Server, got.Age, got.Latency
			if got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		}
	})
	if got, want := len(s.requests), 3; got != want || s.requests[0] != "GET /load" {
		t.Errorf("got requests %v, want %d of GET /load", s.requests, want)
	}
}

// TestCutProbeResponse guards against a load report that broke off and counts.
func TestCutProbeResponse(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nSardine-Load: 1/2\r\nContent-Length: 2\r\n\r\nok"
	var s fakeServer
	for n := 1; n < len(text); n++ {
		s.responses = append(s.responses, text[:n])
	}
	withProber(t, &s, func(_ *prober.Prober, results <-chan prober.Result) {
		for n := 1; n < len(text); n++ {
			if got := <-results; !got.Failed || got.ReportedCalls != -1 {
				t.Errorf("cut after %q: got %+v, want a failure", text[:n], got)
			}
		}
	})
}

// TestUnansweredProbe guards against a probe without a response that never ends,
// or whose time is not added to the deficit, so that an overloaded server is probed
// again at once.
func TestUnansweredProbe(t *testing.T) {
	withProber(t, &fakeServer{responses: make([]string, 100)}, func(p *prober.Prober, results <-chan prober.Result) {
		if got := <-results; !got.Failed {
			t.Errorf("got %+v, want a failure", got)
		}
		time.Sleep(3 * time.Minute) // On the fake clock.
		if got := p.ProbesSent(); got != 1 {
			t.Errorf("got %d probes while about 1 s of probe time is paid at 6 ms per assignment, want 1", got)
		}
		time.Sleep(time.Minute)
		if got := p.ProbesSent(); got != 2 {
			t.Errorf("got %d probes after the debt was paid, want 2", got)
		}
	})
}
