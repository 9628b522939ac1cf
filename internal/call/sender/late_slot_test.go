package sender_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/sender"
)

// TestLateSlot guards against a call that reaches a cold server long after its slot was
// granted, together with those that were granted later.
func TestLateSlot(t *testing.T) {
	b := startServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
		return writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
	})
	s := new(sender.Sender)
	a := newAttempt(b, http.MethodGet, "", true)
	a.SendBy = time.Now().Add(-time.Millisecond)
	var f *sender.Failure
	if _, err := s.Send(t.Context(), a); !errors.Is(err, sender.ErrWithheld) || !errors.As(err, &f) || f.Outcome != sender.Rejected || b.requestCount.Load() > 0 {
		t.Errorf("got %v and %d requests, want the call rejected before it is sent", err, b.requestCount.Load())
	}
	a = newAttempt(b, http.MethodGet, "", true)
	a.SendBy = time.Now().Add(time.Minute)
	if resp, err := s.Send(t.Context(), a); readBody(t, resp, err) != "hello" {
		t.Errorf("got error %v, want the call sent", err)
	}
}
