package sender_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/call/translator"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// lateServer answers the first request on a connection and sends one more response,
// late, when the next request arrives. Later requests are answered as they should be.
type lateServer struct{ late string }

func (s *lateServer) answer(c net.Conn, r *http.Request, _, requestNumber int) bool {
	if requestNumber == 1 {
		return writeText(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 5\r\n\r\nfirst")
	}
	for i := range s.late { // A byte at a time, as slow connections deliver them.
		if !writeText(c, s.late[i:i+1]) {
			return false
		}
	}
	return writeText(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 5\r\n\r\nother")
}

// TestLateResponse guards against a second copy of an answer, sent late on a connection
// that is in use again, that is taken for the answer to the next call: as a success, or
// as a proof that the call did not run.
func TestLateResponse(t *testing.T) {
	for _, test := range []struct{ name, late string }{
		{"copy", "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 5\r\n\r\nfirst"},
		{"copy without a name", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"},
		{"refusal without a name", "HTTP/1.1 503 X\r\nProof: 1\r\nContent-Length: 0\r\n\r\n"},
		{"other server", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range maxReuseTries {
				if sendAfterLateResponse(t, test.late) {
					return
				}
			}
			t.Error("got no connection that was reused")
		})
	}
}

// maxReuseTries bounds the tries of a test that needs a reused connection: the next call
// may come before the connection is back in the pool and open another one.
const maxReuseTries = 100

// sendAfterLateResponse checks the call after one whose answer is repeated late. It
// returns false, and checks nothing, if the call did not reuse the connection.
func sendAfterLateResponse(t *testing.T, late string) (reused bool) {
	t.Helper()
	b := startServer(t, (&lateServer{late: late}).answer)
	s := &sender.Sender{Dialect: strictDialect{}}
	resp, err := s.Send(t.Context(), newNamedAttempt(b, "one"))
	if got := readBody(t, resp, err); got != "first" {
		t.Fatalf("got %q, want first", got)
	}
	_, err = s.Send(t.Context(), newNamedAttempt(b, "two"))
	if b.connCount.Load() > 1 {
		return false
	}
	var f *sender.Failure
	if !errors.As(err, &f) || f.Outcome != sender.Unknown {
		t.Errorf("got %v for the next call, want unknown", err)
	}
	requests := b.requestCount.Load()
	resp, err = s.Send(t.Context(), newNamedAttempt(b, "three"))
	if errors.As(err, &f) && f.Outcome == sender.Rejected && b.requestCount.Load() == requests {
		return true // The surplus bytes ended the connection before the call was written.
	}
	if got := readBody(t, resp, err); got != "first" {
		t.Errorf("got %q, want the first answer on a new connection", got)
	}
	return true
}

// newNamedAttempt returns an attempt of a call that is not idempotent and has a name.
func newNamedAttempt(b *scriptedServer, name string) *sender.Attempt {
	a := newAttempt(b, http.MethodPost, "", false)
	a.Call.RequestID = name
	a.Request.Header.Set("Id", name)
	return a
}

// TestLateResponseToProbe guards against a late answer to a call that counts as the
// load report of its server, and against the answer to a probe that becomes that of a
// call.
func TestLateResponseToProbe(t *testing.T) {
	b := startServer(t, func(c net.Conn, r *http.Request, _, requestNumber int) bool {
		if requestNumber == 1 && r.URL.Path != "/load" {
			return writeText(c, "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 5\r\n\r\nfirst")
		}
		if r.URL.Path == "/load" && requestNumber > 1 {
			return writeText(c, "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 5\r\n\r\nfirst") && writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nload")
		}
		return writeText(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 5\r\n\r\nother")
	})
	s := &sender.Sender{Dialect: strictDialect{}}
	first := newAttempt(b, http.MethodGet, "", true)
	first.Call.RequestID = "one"
	resp, err := s.Send(t.Context(), first)
	if got := readBody(t, resp, err); got != "first" {
		t.Fatalf("got %q, want first", got)
	}
	time.Sleep(20 * time.Millisecond) // The connection goes back to the pool; without it the probe opens one.
	var metadata translator.ResponseMetadata
	metadata, err = s.ProbeServer(t.Context(), b.addr(), withholder.Lifetime{}, "/load", 250)
	if b.connCount.Load() == 1 && err == nil {
		t.Errorf("got %+v from a late answer to a call, want an error", metadata)
	}
	second := newAttempt(b, http.MethodGet, "", true)
	second.Call.RequestID = "two"
	second.Request.Header.Set("Id", "two")
	resp, err = s.Send(t.Context(), second)
	if err != nil {
		return // Reported as it is; it must not be the answer to the probe.
	}
	if got := readBody(t, resp, err); got != "first" && got != "other" {
		t.Errorf("got %q, want an answer to the call", got)
	}
}
