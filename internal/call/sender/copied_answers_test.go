package sender_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// repeatingServer writes the last answer of a connection once more before the next one.
type repeatingServer struct{ lastAnswers sync.Map } // By connection.

func (s *repeatingServer) answer(c net.Conn, r *http.Request, _, _ int) bool {
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\nown", r.Header.Get("Id"))
	if copied, ok := s.lastAnswers.Swap(c, answer); ok && !writeText(c, copied.(string)) {
		return false
	}
	return writeText(c, answer)
}

// TestCopiedAnswers guards against a backend server that writes each answer once more,
// late, and so costs every other call that cannot be sent again its answer.
func TestCopiedAnswers(t *testing.T) {
	const callCount, maxForeign = 100, 5
	b := startServer(t, new(repeatingServer).answer)
	s := &sender.Sender{Dialect: strictDialect{}}
	foreign := 0
	for i := range callCount {
		resp, err := s.Send(t.Context(), newNamedAttempt(b, fmt.Sprint("call", i)))
		var f *sender.Failure
		if errors.As(err, &f) && f.Reason == "foreign" {
			foreign++
		} else if got := readBody(t, resp, err); got != "own" {
			t.Errorf("got %q, want own", got)
		}
		waitUntilIdle(s, b)
	}
	if foreign > maxForeign {
		t.Errorf("got %d of %d calls without their answer, want at most %d", foreign, callCount, maxForeign)
	}
}

// TestCopyFoundByProbe guards against a call that gets no answer although a probe has shown
// before that the backend server writes answers once more.
func TestCopyFoundByProbe(t *testing.T) {
	b := startServer(t, new(repeatingServer).answer)
	s := &sender.Sender{Dialect: strictDialect{}}
	for i := range 2 { // Two connections, of which the probe closes one.
		first, err := s.Send(t.Context(), newNamedAttempt(b, fmt.Sprint("first", i)))
		second, err2 := s.Send(t.Context(), newNamedAttempt(b, fmt.Sprint("second", i)))
		if got := readBody(t, first, err) + readBody(t, second, err2); got != "ownown" {
			t.Fatalf("got %q, want own twice", got)
		}
		waitUntilIdle(s, b)
		if _, err := s.ProbeServer(t.Context(), b.addr(), withholder.Lifetime{}, "/load", 250); err == nil {
			t.Error("got a load report from the answer to a call")
		}
		waitUntilIdle(s, b)
	}
}
