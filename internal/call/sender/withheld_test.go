package sender_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/call/translator"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// leavingDialect is strictDialect with a header for the statement of a leaving server.
type leavingDialect struct{ strictDialect }

func (d leavingDialect) ParseResponse(status int, h http.Header) translator.ResponseMetadata {
	m := d.strictDialect.ParseResponse(status, h)
	m.Leaving = h.Get("Leave") == "1"
	return m
}

func newLeavingSender() *sender.Sender {
	return &sender.Sender{Dialect: leavingDialect{}, Withholder: &withholder.Withholder{}}
}

// oneLife is the lifetime of the backend server in these tests.
var oneLife = withholder.Lifetime{Name: "i-0", ProcessStart: 1}

func newLivedAttempt(b *scriptedServer, method, id string) *sender.Attempt {
	a := newAttempt(b, method, "", method == http.MethodGet)
	a.Call.RequestID, a.Lifetime = id, oneLife
	a.Request.Header.Set("Id", id)
	return a
}

// checkWithheld checks that a call and a probe are refused and that neither reaches b.
func checkWithheld(t *testing.T, s *sender.Sender, b *scriptedServer) {
	t.Helper()
	requests := b.requestCount.Load()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond) // A call or probe that is sent may get no answer.
	defer cancel()
	var f *sender.Failure
	if _, err := s.Send(ctx, newLivedAttempt(b, http.MethodPost, "later")); !errors.As(err, &f) || f.Outcome != sender.Rejected || f.Reason != "withheld" {
		t.Errorf("got %v, want rejected as withheld", err)
	}
	if _, err := s.ProbeServer(ctx, b.addr(), oneLife, "/load", 250); !errors.Is(err, sender.ErrWithheld) {
		t.Errorf("probe: got %v, want ErrWithheld", err)
	}
	if got := b.requestCount.Load() - requests; got != 0 {
		t.Errorf("got %d requests after the statement, want 0", got)
	}
}

// TestStatementInAnyAnswer guards against a statement that counts only in some kinds of
// answers, and against one that counts only at the end of a body.
func TestStatementInAnyAnswer(t *testing.T) {
	for _, test := range []struct{ name, method, answer string }{
		{"short", "GET", "HTTP/1.1 200 OK\r\nLeave: 1\r\nId: one\r\nContent-Length: 5\r\n\r\nfirst"},
		{"unsafe", "POST", "HTTP/1.1 200 OK\r\nLeave: 1\r\nId: one\r\nContent-Length: 5\r\n\r\nfirst"},
		{"streamed", "GET", "HTTP/1.1 200 OK\r\nLeave: 1\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n"},
		{"streamed unsafe", "POST", "HTTP/1.1 200 OK\r\nLeave: 1\r\nId: one\r\nContent-Length: 500\r\n\r\nfirst"},
		{"failure", "POST", "HTTP/1.1 500 X\r\nLeave: 1\r\nId: one\r\nContent-Length: 0\r\n\r\n"},
		{"refusal", "POST", "HTTP/1.1 503 X\r\nLeave: 1\r\nProof: 1\r\nId: one\r\nContent-Length: 0\r\n\r\n"},
		{"refusal without proof", "POST", "HTTP/1.1 503 X\r\nLeave: 1\r\nId: one\r\nContent-Length: 0\r\n\r\n"},
		{"other server", "POST", "HTTP/1.1 421 X\r\nLeave: 1\r\nContent-Length: 0\r\n\r\n"},
		{"foreign", "POST", "HTTP/1.1 200 OK\r\nLeave: 1\r\nId: zero\r\nContent-Length: 5\r\n\r\nfirst"},
		{"upgrade", "GET", "HTTP/1.1 101 X\r\nLeave: 1\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := startServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
				return writeText(c, test.answer) && waitForClose(c)
			})
			s := newLeavingSender()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			resp, _ := s.Send(ctx, newLivedAttempt(b, test.method, "one"))
			if resp != nil {
				defer func() { _ = resp.Body.Close() }()
			}
			checkWithheld(t, s, b)
		})
	}
}

// TestStatementInProbe guards against the statement of a probe's answer being ignored.
func TestStatementInProbe(t *testing.T) {
	for _, name := range []string{"", "Id: one\r\n"} {
		b := startServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
			return writeText(c, "HTTP/1.1 200 OK\r\nLeave: 1\r\n"+name+"Content-Length: 4\r\n\r\nload")
		})
		s := newLeavingSender()
		if _, err := s.ProbeServer(t.Context(), b.addr(), oneLife, "/load", 250); (err != nil) != (name != "") {
			t.Errorf("got %v, want an error for a late answer only", err)
		}
		checkWithheld(t, s, b)
	}
}

// TestNoSecondSendAfterStatement guards against a second send of a call, because of a
// silent connection, to a server that has stated meanwhile that it is leaving, and
// against the outcome rejected for a call whose first send may have run.
func TestNoSecondSendAfterStatement(t *testing.T) {
	s := newLeavingSender()
	b := startServer(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		if r.Header.Get("Id") != "silent" {
			return writeText(c, strings.Replace(helloResponse, "200 OK", "200 OK\r\nId: "+r.Header.Get("Id"), 1))
		}
		s.Withholder.RecordLeaving(time.Now(), oneLife, withholder.FromRequest)
		return waitForClose(c)
	})
	for range 100 { // Enough for a short first-byte timeout.
		resp, err := s.Send(t.Context(), newLivedAttempt(b, http.MethodGet, "one"))
		readBody(t, resp, err)
	}
	for s.HasRecentExchange(b.addr(), 0) {
		time.Sleep(time.Millisecond) // Until the connection is idle.
	}
	requests := b.requestCount.Load()
	a := newLivedAttempt(b, http.MethodGet, "silent")
	a.AllowResend = true
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := s.Send(ctx, a)
	var f *sender.Failure
	if !errors.As(err, &f) || f.Outcome != sender.Unknown || f.Reason != "withheld" {
		t.Errorf("got %v, want unknown as withheld", err)
	}
	if got := b.requestCount.Load() - requests; got != 1 {
		t.Errorf("got %d sends, want 1", got)
	}
}

// TestStatementInSecondSend guards against the statement of the answer to a second send
// being ignored.
func TestStatementInSecondSend(t *testing.T) {
	b := startServer(t, func(c net.Conn, r *http.Request, _, requestNumber int) bool {
		id := "200 OK\r\nId: " + r.Header.Get("Id")
		switch {
		case r.Header.Get("Id") != "silent":
			return writeText(c, strings.Replace(helloResponse, "200 OK", id, 1))
		case requestNumber > 1:
			return waitForClose(c)
		}
		return writeText(c, strings.Replace(helloResponse, "200 OK", id+"\r\nLeave: 1", 1))
	})
	s := newLeavingSender()
	for range 100 {
		resp, err := s.Send(t.Context(), newLivedAttempt(b, http.MethodGet, "one"))
		readBody(t, resp, err)
	}
	for s.HasRecentExchange(b.addr(), 0) {
		time.Sleep(time.Millisecond)
	}
	a := newLivedAttempt(b, http.MethodGet, "silent")
	a.AllowResend = true
	resp, err := s.Send(t.Context(), a)
	readBody(t, resp, err)
	checkWithheld(t, s, b)
}

// TestWaitForConnectionEndsAtStatement guards against a call that waits for a connection
// of a leaving server, and reaches it once another call has ended there.
func TestWaitForConnectionEndsAtStatement(t *testing.T) {
	arrived, proceed := make(chan struct{}, 10), make(chan struct{})
	b := startServer(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		arrived <- struct{}{}
		<-proceed
		return writeText(c, strings.Replace(helloResponse, "200 OK", "200 OK\r\nId: "+r.Header.Get("Id"), 1))
	})
	defer close(proceed)
	s := newLeavingSender()
	const connections = 2
	send := func(results chan<- error) {
		a := newLivedAttempt(b, http.MethodPost, "one")
		a.Call.Service.Service = &parser.Service{Name: "guidance", Connections: connections}
		resp, err := s.Send(t.Context(), a)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		results <- err
	}
	running, waiting := make(chan error, connections), make(chan error, 1)
	for range connections {
		go send(running)
		<-arrived
	}
	go send(waiting)
	time.Sleep(20 * time.Millisecond) // The third call most likely waits then; the result is the same if not.
	s.Withholder.RecordLeaving(time.Now(), oneLife, withholder.FromProbe)
	select {
	case err := <-waiting:
		if !errors.Is(err, sender.ErrWithheld) {
			t.Errorf("got %v, want ErrWithheld", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the call still waits while both connections are in use")
	}
	for range connections {
		proceed <- struct{}{}
		if err := <-running; err != nil {
			t.Errorf("got %v for a call that ran at the statement, want its answer", err)
		}
	}
}

// TestStatementOfOldProcess guards against the answer of an old process that counts
// against a new one at the same address, on a connection to the old one.
func TestStatementOfOldProcess(t *testing.T) {
	b := startServer(t, func(c net.Conn, r *http.Request, connNumber, _ int) bool {
		text := "200 OK\r\nId: " + r.Header.Get("Id")
		if connNumber == 1 && r.Header.Get("Id") != "one" {
			text += "\r\nLeave: 1"
		}
		return writeText(c, strings.Replace(helloResponse, "200 OK", text, 1))
	})
	s := newLeavingSender()
	resp, err := s.Send(t.Context(), newLivedAttempt(b, http.MethodGet, "one"))
	readBody(t, resp, err)
	for s.HasRecentExchange(b.addr(), 0) {
		time.Sleep(time.Millisecond)
	}
	a := newLivedAttempt(b, http.MethodGet, "two")
	a.Lifetime.ProcessStart++
	resp, err = s.Send(t.Context(), a)
	readBody(t, resp, err)
	if got := s.Withholder.LeavingLifetimes(); len(got) != 0 {
		t.Errorf("got %v as leaving, want none: the call has to go to the new process", got)
	}
	if got := b.connCount.Load(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}
