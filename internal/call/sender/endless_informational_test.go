package sender_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/sender"
)

// TestEndlessInformational guards against 1xx responses without end that occupy the
// instance until the deadline of the call.
func TestEndlessInformational(t *testing.T) {
	const maxAllocated = 10 << 20
	const maxForwarded = 128 << 10
	for name, text := range map[string]string{
		"continue":    "HTTP/1.1 100 Continue\r\n\r\n",
		"headers":     "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
		"long header": "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 5000) + "\r\n\r\n",
		"long phrase": "HTTP/1.1 102 " + strings.Repeat("x", 3000) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			block := strings.Repeat(text, 1+(16<<10)/len(text))
			b := startServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
				for writeText(c, block) {
				}
				return false
			})
			a := newAttempt(b, http.MethodPost, "body", false)
			forwarded := 0
			a.ForwardInformational = func(int, http.Header) { forwarded += len(text) }
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := new(sender.Sender).Send(ctx, a)
			runtime.ReadMemStats(&after)
			var f *sender.Failure
			if !errors.As(err, &f) || f.Outcome != sender.Unknown || f.Reason != "read" {
				t.Errorf("got %v, want unknown: read", err)
			}
			if forwarded > maxForwarded {
				t.Errorf("got %d KiB of 1xx responses forwarded, want at most %d", forwarded>>10, maxForwarded>>10)
			}
			if got := after.TotalAlloc - before.TotalAlloc; got > maxAllocated {
				t.Errorf("got %d MB allocated, want at most %d", got>>20, maxAllocated>>20)
			}
		})
	}
}

// TestManyInformational guards against 1xx responses of a sound backend server, a
// burst and then some for a long time, that end the call.
func TestManyInformational(t *testing.T) {
	const responses, burst = 20, 14
	text := "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 4000) + "\r\n\r\n"
	forwarded := make(chan bool, responses)
	b := startServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
		for i := range responses {
			if i >= burst {
				time.Sleep(270 * time.Millisecond) // 15 KB/s.
			}
			if !writeText(c, text) {
				return false
			}
			<-forwarded
		}
		return writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
	})
	a := newAttempt(b, http.MethodPost, "body", false)
	a.ForwardInformational = func(int, http.Header) { forwarded <- true }
	resp, err := new(sender.Sender).Send(t.Context(), a)
	if got := readBody(t, resp, err); got != "body" {
		t.Errorf("got %q, want the response after all 1xx responses", got)
	}
}
