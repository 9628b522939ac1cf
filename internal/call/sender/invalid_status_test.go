package sender_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/sender"
)

// TestInvalidStatus guards against a response whose status is none, such as 000, that
// counts as the response to a call, proves that the call did not run, or leaves its
// connection in use.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "+42", "600", "999", "20", "2000", "2x0"} {
		t.Run(status, func(t *testing.T) {
			b := startServer(t, func(c net.Conn, _ *http.Request, _, requestNumber int) bool {
				if requestNumber > 1 {
					return writeText(c, helloResponse)
				}
				return writeText(c, "HTTP/1.1 "+status+" OK\r\nSardine-Refused: 1\r\nContent-Length: 5\r\n\r\nwrong")
			})
			s := new(sender.Sender)
			for range 2 {
				resp, err := s.Send(t.Context(), newAttempt(b, http.MethodGet, "", true))
				var f *sender.Failure
				if !errors.As(err, &f) || f.Outcome != sender.Unknown {
					t.Errorf("got response %v and error %v, want outcome unknown", resp, err)
				}
			}
			if got := b.connCount.Load(); got != 2 {
				t.Errorf("got %d connections for two calls, want 2", got)
			}
		})
	}
}

// TestInvalidProbeStatus guards against a server that answers its probes with no status
// and counts as healthy.
func TestInvalidProbeStatus(t *testing.T) {
	b := startServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
		return writeText(c, "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n")
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a := newAttempt(b, http.MethodGet, "", true)
	if m, err := new(sender.Sender).ProbeServer(ctx, b.addr(), a.Lifetime, "/load", 2); err == nil {
		t.Errorf("got %+v, want an error", m)
	}
}
