package sender_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// TestStatementBeforeNewRecord guards against calls to a server that restarted under its
// name and stated that it is leaving before its new record arrived.
func TestStatementBeforeNewRecord(t *testing.T) {
	b := startServer(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
		return writeText(c, "HTTP/1.1 200 OK\r\nSardine-Leaving: 1\r\nContent-Length: 5\r\n\r\nhello")
	})
	var w withholder.Withholder
	s := &sender.Sender{Withholder: &w}
	restart := uint64(time.Now().UnixMilli())
	a := newAttempt(b, http.MethodPost, "", false)
	a.Lifetime = withholder.Lifetime{Name: "a", ProcessStart: restart - 60_000} // The record is that of the earlier process.
	resp, err := s.Send(t.Context(), a)
	if got := readBody(t, resp, err); got != "hello" {
		t.Fatalf("got %q, want hello", got)
	}
	a = newAttempt(b, http.MethodPost, "", false)
	a.Lifetime = withholder.Lifetime{Name: "a", ProcessStart: restart} // Its own record, of before the statement, has arrived.
	if _, err = s.Send(t.Context(), a); err == nil {
		t.Errorf("got %d requests at the server, want 1: it stated that it is leaving", b.requestCount.Load())
	}
}
