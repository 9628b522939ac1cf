package limiter_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/instance/limiter"
)

// startServer starts a server with limits that reads the body of each request.
func startServer(t *testing.T, l *limiter.Limiter, handler http.HandlerFunc) (addr string) {
	t.Helper()
	l.Log = &log.DefaultLogger
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: handler, Protocols: new(http.Protocols)}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	l.ConfigureServer(s, http.NotFoundHandler())
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = s.Serve(l.Listen(ln, limiter.Callers)) })
	tasks.Go(func() { _ = l.Run(ctx) })
	t.Cleanup(func() { cancel(); _ = s.Close(); tasks.Wait() })
	return ln.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

func readBody(w http.ResponseWriter, r *http.Request) {
	n, _ := io.Copy(io.Discard, r.Body)
	_, _ = fmt.Fprint(w, n)
}

// TestOrdinaryRequests guards against limits that close the connection of a caller that
// keeps to the limits of the configuration and sends one request at a time, and against
// held bytes that are not released.
func TestOrdinaryRequests(t *testing.T) {
	l := &limiter.Limiter{Memory: 32 << 20, Descriptors: 400}
	conn := dial(t, startServer(t, l, readBody))
	reader := bufio.NewReader(conn)
	for i := range 2000 {
		size, fill := i%3*5000, strings.Repeat("f", i%8*2000)
		body := strings.Repeat("b\n", size/2)
		if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nX-Fill: %s\r\nContent-Length: %d\r\n\r\n%s", fill, size, body); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if got, _ := io.ReadAll(resp.Body); string(got) != fmt.Sprint(size) || resp.Close {
			t.Fatalf("request %d: got %q, close %t, want %d and a kept connection", i, got, resp.Close, size)
		}
	}
	for r, name := range limiter.Reasons {
		if n := l.ClosedCount(limiter.Reason(r)); n != 0 {
			t.Errorf("got %d connections closed for %s, want 0", n, name)
		}
	}
	_ = conn.Close()
	awaitHeld(t, l, 0)
}

func awaitHeld(t *testing.T, l *limiter.Limiter, want int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); l.Held() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d held bytes, want %d", l.Held(), want)
		}
	}
}

// TestPlacedRequestIsKept guards against a request that has a slot and is cut off because
// others use up the memory, and against others that are not closed.
func TestPlacedRequestIsKept(t *testing.T) {
	l := &limiter.Limiter{Memory: 32 << 20}
	placed, release := make(chan bool), make(chan bool)
	addr := startServer(t, l, func(w http.ResponseWriter, r *http.Request) {
		request := limiter.RequestOf(r.Context())
		defer request.Finish()
		if r.URL.Path == "/placed" {
			request.Protect()
			request.Hold(1 << 20)
			placed <- true
			<-release
		}
		readBody(w, r)
	})
	conn := dial(t, addr)
	_, _ = io.WriteString(conn, "POST /placed HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
	<-placed
	head := "GET / HTTP/1.1\r\n" + strings.Repeat("f:\r\n", 400) // Without its end.
	for range 400 {
		_, _ = io.WriteString(dial(t, addr), head)
	}
	for end := time.Now().Add(10 * time.Second); l.ClosedCount(limiter.Memory) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("got no connection closed for want of memory")
		}
	}
	release <- true
	_, _ = io.WriteString(conn, "b")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got response %v and error %v for the placed request, want status 200", resp, err)
	}
}

// TestNewCallerWhilePlacedHoldMost guards against new callers whose connections are closed
// because requests that are never closed use up the budget.
func TestNewCallerWhilePlacedHoldMost(t *testing.T) {
	l := &limiter.Limiter{Memory: 32 << 20}
	placed, release := make(chan bool), make(chan bool)
	addr := startServer(t, l, func(w http.ResponseWriter, r *http.Request) {
		request := limiter.RequestOf(r.Context())
		defer request.Finish()
		if r.URL.Path == "/placed" {
			request.Protect()
			request.Hold(int(l.Budget()))
			placed <- true
			<-release
		}
		readBody(w, r)
	})
	defer close(release)
	_, _ = io.WriteString(dial(t, addr), "POST /placed HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
	<-placed
	for range 50 {
		conn := dial(t, addr)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n")
		_, _ = io.WriteString(conn, "Host: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got response %v and error %v, want status 200", resp, err)
		}
	}
}

// TestFieldsOverHTTP2 guards against many fields of HTTP/2 requests that are not limited.
func TestFieldsOverHTTP2(t *testing.T) {
	l := &limiter.Limiter{Memory: 32 << 20}
	addr := startServer(t, l, readBody)
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	for fields, want := range map[int]int{100: http.StatusOK, 600: http.StatusRequestHeaderFieldsTooLarge} {
		r, err := http.NewRequest(http.MethodGet, "http://"+addr, nil)
		if err != nil {
			t.Fatal(err)
		}
		for i := range fields {
			r.Header.Set(fmt.Sprint("f", i), "")
		}
		resp, err := transport.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("got status %d for %d fields, want %d", resp.StatusCode, fields, want)
		}
	}
}
