package sender_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/call/translator"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/router"
)

// scriptedServer is a backend server that calls script for each request, with the
// number of the connection and of the request on it. The connection is closed
// when script returns false.
type scriptedServer struct {
	net.Listener
	script       func(conn net.Conn, r *http.Request, connNumber, requestNumber int) bool
	connCount    atomic.Int64
	requestCount atomic.Int64
}

func startServer(t *testing.T, script func(net.Conn, *http.Request, int, int) bool) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedServer{Listener: listener, script: script}
	go s.acceptConns()
	return s
}

func (s *scriptedServer) acceptConns() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c, int(s.connCount.Add(1)))
	}
}

func (s *scriptedServer) serveConn(c net.Conn, connNumber int) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for requestNumber := 1; ; requestNumber++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.requestCount.Add(1)
		if !s.script(c, r, connNumber, requestNumber) {
			return
		}
	}
}

func (s *scriptedServer) addr() netip.AddrPort { return s.Addr().(*net.TCPAddr).AddrPort() }

func newAttempt(s *scriptedServer, method, body string, idempotent bool) *sender.Attempt {
	r := httptest.NewRequest(method, "/guidance/book", strings.NewReader(body))
	r.Header.Set("Idempotency-Key", "k")
	c := &classifier.Call{
		Service:  &router.Service{Service: &parser.Service{Name: "guidance"}},
		Deadline: time.Now().Add(time.Minute), Idempotent: idempotent, Path: "/book",
	}
	return &sender.Attempt{Call: c, Request: r, Body: r.Body, Server: s.addr(), Number: 1}
}

func readBody(t *testing.T, resp *http.Response, err error) string {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return string(text)
}

func writeText(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

const helloResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// TestNoUnrequestedResend guards against a call that is resent without
// Attempt.AllowResend when the backend server closes the reused connection on
// which it was sent.
func TestNoUnrequestedResend(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			b := startServer(t, func(c net.Conn, _ *http.Request, _, requestNumber int) bool {
				return requestNumber == 1 && writeText(c, helloResponse)
			})
			var s sender.Sender
			var err error
			sends := int64(0)
			for err == nil { // The first call on a reused connection fails.
				var resp *http.Response
				sends++
				if resp, err = s.Send(t.Context(), newAttempt(b, method, "", true)); err == nil {
					readBody(t, resp, err)
				}
			}
			var f *sender.Failure
			if !errors.As(err, &f) || f.Outcome != sender.Unknown {
				t.Errorf("got error %v, want unknown", err)
			}
			if got := b.requestCount.Load(); got != sends {
				t.Errorf("got %d requests, want %d", got, sends)
			}
		})
	}
}

// TestConnectionReuse guards against a connection that is reused although bytes
// arrived after the response or the response announced its close, and against
// one that is never reused.
func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		name, first string
		reuse       bool
	}{
		{"whole", helloResponse, true},
		{"empty", "HTTP/1.1 204 No Content\r\n\r\n", true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", true},
		{"response twice", helloResponse + strings.Replace(helloResponse, "hello", "wrong", 1), false},
		{"bytes after an empty response", "HTTP/1.1 204 No Content\r\n\r\n" + helloResponse, false},
		{"connection closes", strings.Replace(helloResponse, "OK\r\n", "OK\r\nConnection: close\r\n", 1), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := startServer(t, func(c net.Conn, r *http.Request, _, _ int) bool {
				if r.Header.Get("Sardine-Attempt") == "2" {
					return writeText(c, strings.Replace(helloResponse, "hello", "again", 1))
				}
				return writeText(c, tt.first)
			})
			var s sender.Sender
			resp, err := s.Send(t.Context(), newAttempt(b, http.MethodGet, "", false))
			readBody(t, resp, err)
			for again := true; again; again = tt.reuse && b.connCount.Load() == b.requestCount.Load() {
				a := newAttempt(b, http.MethodGet, "", false)
				a.Number = 2
				resp, err = s.Send(t.Context(), a)
				if got := readBody(t, resp, err); got != "again" {
					t.Errorf("got response %q, want %q", got, "again")
				}
			}
			if got := b.connCount.Load(); !tt.reuse && got != 2 {
				t.Errorf("got %d connections, want 2", got)
			}
		})
	}
}

// TestCancelClosesConnection guards against a cancelled attempt whose connection
// stays open, so that the backend server continues to run the call, and against
// a cancelled attempt with the outcome rejected.
func TestCancelClosesConnection(t *testing.T) {
	arrived, closed := make(chan bool, 1), make(chan bool, 1)
	b := startServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
		arrived <- true
		_, _ = c.Read(make([]byte, 1))
		closed <- true
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	c := &canceler{arrived: arrived, cancel: cancel}
	go c.run()
	_, err := new(sender.Sender).Send(ctx, newAttempt(b, http.MethodPost, "", false))
	var f *sender.Failure
	if !errors.As(err, &f) || f.Outcome != sender.Unknown || f.Reason != "gone" {
		t.Errorf("got error %v, want unknown: gone", err)
	}
	<-closed
}

// canceler cancels a call when it has arrived at the backend server.
type canceler struct {
	arrived <-chan bool
	cancel  func()
}

func (c *canceler) run() {
	<-c.arrived
	c.cancel()
}

// TestConnectionLimit guards against an instance that opens more connections to a
// backend server than its share of them.
func TestConnectionLimit(t *testing.T) {
	release := make(chan bool)
	b := startServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool { return <-release && writeText(c, helloResponse) })
	c := &caller{sender: &sender.Sender{InstanceCount: func() int { return 125 }}, server: b, results: make(chan error)}
	for range 8 {
		go c.run(t.Context())
	}
	for range 8 {
		release <- true
		if err := <-c.results; err != nil {
			t.Error(err)
		}
	}
	if n := b.connCount.Load(); n != 2 {
		t.Errorf("got %d connections, want 2", n)
	}
}

// caller sends calls and reports for each whether the complete response arrived.
type caller struct {
	sender  *sender.Sender
	server  *scriptedServer
	results chan error
}

func (c *caller) run(ctx context.Context) {
	resp, err := c.sender.Send(ctx, newAttempt(c.server, http.MethodGet, "", false))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	c.results <- err
}

// TestForwardedHeaders guards against hop-by-hop headers that are forwarded, and
// against lost trailers, 1xx responses and 100 Continue.
func TestForwardedHeaders(t *testing.T) {
	b := startServer(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		if r.Header.Get("Expect") != "100-continue" || !writeText(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n") {
			return false
		}
		body, _ := io.ReadAll(r.Body)
		text := fmt.Sprintf("%s %v %v %v %q", body, r.Trailer["Sum"], r.Header["Secret"], r.Header["Keep-Alive"], r.URL.Path)
		return writeText(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: End\r\n\r\n%x\r\n%s\r\n0\r\nEnd: yes\r\n\r\n", len(text), text))
	})
	a := newAttempt(b, http.MethodPost, "body", false)
	for name, value := range map[string]string{"Connection": "close, secret", "Secret": "1", "Keep-Alive": "1", "Expect": "100-continue"} {
		a.Request.Header.Set(name, value)
	}
	a.Request.ContentLength, a.Request.Trailer = -1, http.Header{"Sum": {"7"}}
	informationalStatus := 0
	a.ForwardInformational = func(status int, _ http.Header) { informationalStatus += status }
	resp, err := new(sender.Sender).Send(t.Context(), a)
	if got, want := readBody(t, resp, err), `body [7] [] [] "/book"`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := resp.Trailer.Get("End"); got != "yes" || informationalStatus != http.StatusEarlyHints {
		t.Errorf("got trailer %q and 1xx %d, want yes and 103", got, informationalStatus)
	}
}

// TestBodyLimiter guards against reserved body bytes beyond the limit of a service.
func TestBodyLimiter(t *testing.T) {
	var l sender.BodyLimiter
	release, ok := l.Acquire("guidance", 10, 8)
	if _, more := l.Acquire("guidance", 10, 8); !ok || more {
		t.Errorf("got %v and %v, want only the first", ok, more)
	}
	release()
	if _, ok := l.Acquire("guidance", 10, 8); !ok {
		t.Error("got no bytes after they were released")
	}
}

// strictDialect is a dialect in which each response names its call, and a response
// with status 503 is a refusal only with the header Proof.
type strictDialect struct{ translator.Native }

func (strictDialect) ParseResponse(status int, h http.Header) translator.ResponseMetadata {
	return translator.ResponseMetadata{
		RunningCalls: -1, RequestID: h.Get("Id"), Unnamed: h.Get("Id") == "", Misdirected: status == http.StatusMisdirectedRequest,
		Refused: h.Get("Proof") != "", UnprovenRefusal: status == http.StatusServiceUnavailable && h.Get("Proof") == "",
		UnprovenSuccess: h.Get("Part") != "",
	}
}

// TestResponseFailures guards against the response to another call, which a backend
// server sent late or twice, and against a response without proof of refusal that
// is taken for a refusal.
func TestResponseFailures(t *testing.T) {
	for _, test := range []struct {
		name, head string
		want       sender.Outcome
		reason     string
	}{
		{"own", "200 OK\r\nId: mine", sender.Rejected, ""},
		{"another", "200 OK\r\nId: other", sender.Unknown, "foreign"},
		{"refused", "503 X\r\nProof: 1\r\nId: mine", sender.Rejected, "refused"},
		{"refused without a name", "503 X\r\nProof: 1", sender.Unknown, "unproven"},
		{"unproven", "503 X\r\nId: mine", sender.Unknown, "unproven"},
		{"moved", "421 X\r\nId: mine", sender.Rejected, "moved"},
		{"moved without a name", "421 X", sender.Unknown, "unproven"},
		{"part of a head", "200 OK\r\nId: mine\r\nPart: 1", sender.Unknown, "unproven"},
	} {
		b := startServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
			return writeText(c, "HTTP/1.1 "+test.head+"\r\nContent-Length: 0\r\n\r\n")
		})
		a := newAttempt(b, http.MethodPost, "", false)
		a.Call.RequestID = "mine"
		_, err := (&sender.Sender{Dialect: strictDialect{}}).Send(t.Context(), a)
		var f *sender.Failure
		if errors.As(err, &f) != (test.reason != "") || f != nil && (f.Outcome != test.want || f.Reason != test.reason) {
			t.Errorf("%s: got %v, want %v %q", test.name, err, test.want, test.reason)
		}
	}
}
