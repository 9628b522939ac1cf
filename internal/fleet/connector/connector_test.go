package connector_test

import (
	"context"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/standin/certifier"
)

// testTimeout bounds each wait in a test. No test asserts a shorter time.
const testTimeout = 20 * time.Second

// echoStream sends back what it receives.
func echoStream(_ connector.Hello, c net.Conn) { _, _ = io.Copy(c, c) }

// startConnector runs co on a loopback port until the test ends or stop is called.
func startConnector(t testing.TB, co *connector.Connector) (stop func()) {
	t.Helper()
	if !co.ListenAddr.IsValid() {
		co.ListenAddr = netip.MustParseAddrPort("127.0.0.1:0")
	}
	if co.Handlers == nil {
		co.Handlers = map[connector.StreamKind]connector.Handler{connector.ControlStream: connector.HandlerFunc(echoStream), connector.CallStream: connector.HandlerFunc(echoStream)}
	}
	co.Audit = &auditor.Trail{}
	if err := co.Bind(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningConnector{connector: co, ended: make(chan struct{})}
	go r.run(ctx)
	stop = func() { cancel(); <-r.ended }
	t.Cleanup(stop)
	return stop
}

// runningConnector runs a Connector; ended is closed when Run has returned.
type runningConnector struct {
	connector *connector.Connector
	ended     chan struct{}
}

func (r *runningConnector) run(ctx context.Context) {
	_ = r.connector.Run(ctx)
	close(r.ended)
}

// withTimeout returns a context that ends with the test or after testTimeout.
func withTimeout(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// waitUntil polls condition and fails the test if it stays false for testTimeout.
func waitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, testTimeout)
		}
	}
}

// exchangeText writes text to c and checks that c returns it.
func exchangeText(t testing.TB, c net.Conn, text string) {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Fatalf("got %q, %v, want %q", got, err, text)
	}
}

// TestOpenStream guards against a dial for each concurrent caller, a second
// session for the other direction, and bytes counted under the wrong kind.
func TestOpenStream(t *testing.T) {
	t.Run("plain", func(t *testing.T) { testOpenStream(t, true, parser.TLS{}) })
	t.Run("tls", func(t *testing.T) {
		testOpenStream(t, false, issueKeyFiles(t, t.TempDir(), &certifier.CertificateAuthority{}))
	})
}

// streamOpeners is a group of goroutines that open streams concurrently.
type streamOpeners struct{ sync.WaitGroup }

func (s *streamOpeners) openAndExchange(t *testing.T, a, b *connector.Connector) {
	defer s.Done()
	c, err := a.OpenStream(withTimeout(t), b.Addr(), connector.CallStream)
	if err != nil {
		t.Error(err)
		return
	}
	exchangeText(t, c, "hello")
	if got := c.(*connector.Stream).PeerHello().Name; got != "b" {
		t.Errorf("got peer %q, want b", got)
	}
	_ = c.Close()
}

func testOpenStream(t *testing.T, plain bool, files parser.TLS) {
	a := &connector.Connector{Name: "a", Incarnation: 1, Plain: plain, TLS: files}
	b := &connector.Connector{Name: "b", Incarnation: 2, Plain: plain, TLS: files}
	startConnector(t, a)
	startConnector(t, b)
	var o streamOpeners
	for range 20 {
		o.Add(1)
		go o.openAndExchange(t, a, b)
	}
	o.Wait()
	waitUntil(t, "accepted session", func() bool { return len(b.Stats().Sessions) == 1 })
	c, err := b.OpenStream(withTimeout(t), a.Addr(), connector.ControlStream)
	if err != nil {
		t.Fatal(err)
	}
	exchangeText(t, c, "back")
	if got := len(a.Stats().Sessions); got != 1 {
		t.Errorf("got %d sessions, want 1 for both directions", got)
	}
	// The byte that gives the kind is not counted. A write is counted only after
	// it returns, possibly after its answer arrived, so the counts may lag.
	want := map[connector.StreamKind]connector.ByteCount{connector.CallStream: {In: 100, Out: 100}, connector.ControlStream: {In: 4, Out: 4}, connector.GrantStream: {}, connector.FeedStream: {}}
	waitUntil(t, "counts of each kind", func() bool { return maps.Equal(a.Stats().BytesByKind, want) })
}

// TestRefusedSession guards against a session with a peer that has another major
// protocol version, a certificate of another authority or an oversized Hello.
func TestRefusedSession(t *testing.T) {
	ca := &certifier.CertificateAuthority{}
	files := issueKeyFiles(t, t.TempDir(), ca)
	tests := []struct {
		name string
		want string
		peer *connector.Connector
	}{
		{"version", "version 9", &connector.Connector{Name: "b", ProtocolVersion: 9, TLS: files}},
		{"certificate", "tls", &connector.Connector{Name: "b", TLS: issueKeyFiles(t, t.TempDir(), &certifier.CertificateAuthority{})}},
		{"size", "hello", &connector.Connector{Name: strings.Repeat("b", 2000), TLS: files}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			testRefusedSession(t, &connector.Connector{Name: "a", TLS: files}, test.peer, test.want)
		})
	}
}

func testRefusedSession(t *testing.T, a, peer *connector.Connector, want string) {
	startConnector(t, a)
	startConnector(t, peer)
	if c, err := peer.OpenStream(withTimeout(t), a.Addr(), connector.CallStream); err == nil {
		t.Errorf("got stream %v, want an error", c)
	}
	waitUntil(t, "audited refusal", func() bool {
		return slices.ContainsFunc(a.Audit.Changes(), func(c auditor.Change) bool {
			return c.After == "refused" && strings.Contains(c.Cause, want)
		})
	})
	if c, err := a.OpenStream(withTimeout(t), peer.Addr(), connector.CallStream); err == nil {
		t.Errorf("dialing: got stream %v, want an error", c)
	}
	if n := len(a.Stats().Sessions); n != 0 {
		t.Errorf("got %d sessions, want 0", n)
	}
}

// TestOversizedHello guards against memory allocation for a Hello whose length
// prefix is huge, and against a handshake that waits for its content forever.
func TestOversizedHello(t *testing.T) {
	a := &connector.Connector{Name: "a", Plain: true}
	startConnector(t, a)
	conn, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	mux, err := yamux.Client(conn, nil)
	if err != nil {
		t.Fatal(err)
	}
	st, err := mux.Open()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = st.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	select {
	case <-mux.CloseChan():
	case <-time.After(testTimeout):
		t.Fatal("session is still open after an oversized Hello")
	}
	waitUntil(t, "counted refusal", func() bool { return a.Stats().RefusedSessions == 1 })
}

// TestReplacedInstance guards against use of a broken session after the process at
// an address was replaced by another one.
func TestReplacedInstance(t *testing.T) {
	lost := make(chan netip.AddrPort, 16)
	a := &connector.Connector{Name: "a", Plain: true, OnPeerLost: func(p netip.AddrPort, _ error) { lost <- p }}
	b := &connector.Connector{Name: "b", Incarnation: 1, Plain: true}
	startConnector(t, a)
	stop := startConnector(t, b)
	c, err := a.OpenStream(withTimeout(t), b.Addr(), connector.CallStream)
	if err != nil {
		t.Fatal(err)
	}
	exchangeText(t, c, "first")
	stop()
	if got := <-lost; got != b.Addr() {
		t.Errorf("got lost %v, want %v", got, b.Addr())
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("reading a stream of a broken session returned no error")
	}
	if _, err := a.OpenStream(withTimeout(t), b.Addr(), connector.CallStream); err == nil {
		t.Error("opening a stream to a stopped instance returned no error")
	}
	next := &connector.Connector{Name: "b", Incarnation: 2, Plain: true, ListenAddr: b.Addr()}
	startConnector(t, next)
	waitUntil(t, "stream to the replacement", func() bool {
		c, err := a.OpenStream(withTimeout(t), next.Addr(), connector.CallStream)
		return err == nil && c.(*connector.Stream).PeerHello().Incarnation == 2
	})
}

// TestRedial guards against sessions that accumulate when a peer is dialed
// repeatedly.
func TestRedial(t *testing.T) {
	a := &connector.Connector{Name: "a", Plain: true, IdleTimeout: time.Second}
	b := &connector.Connector{Name: "b", Plain: true}
	startConnector(t, a)
	startConnector(t, b)
	for range 5 {
		if _, err := a.Redial(withTimeout(t), b.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	c, err := a.OpenStream(withTimeout(t), b.Addr(), connector.CallStream)
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "one session", func() bool { return len(a.Stats().Sessions) == 1 && len(b.Stats().Sessions) == 1 })
	exchangeText(t, c, "still open")
}

// TestIdleSession guards against unused sessions that stay open.
func TestIdleSession(t *testing.T) {
	a := &connector.Connector{Name: "a", Plain: true, IdleTimeout: 50 * time.Millisecond}
	b := &connector.Connector{Name: "b", Plain: true}
	startConnector(t, a)
	startConnector(t, b)
	c, err := a.OpenStream(withTimeout(t), b.Addr(), connector.CallStream)
	if err != nil {
		t.Fatal(err)
	}
	exchangeText(t, c, "busy")
	_ = c.Close()
	waitUntil(t, "closed sessions", func() bool { return len(a.Stats().Sessions)+len(b.Stats().Sessions) == 0 })
}
