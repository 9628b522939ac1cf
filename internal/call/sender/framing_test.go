package sender_test

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/call/sender"
)

// TestUnclearFraming guards against a part of a response that looks whole, because net/http
// overlooks the field that says where the body ends and reads up to the end of the connection.
func TestUnclearFraming(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + seal,
		"HTTP/1.0 200 OK\ntransfer-encoding: chunked\nSeal: 3e1b.07\n\n",
		"HTTP/1.0 200 OK\r\nConnection: close\r\n" + seal[:len(seal)-2] + "TRANSFER-ENCODING:gzip,chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n" + seal,
		"HTTP/1.1 200 OK\r\nContent-Length : 10\r\n" + seal,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding\t: chunked\r\n" + seal,
	} {
		for _, split := range []bool{false, true} {
			b := startServer(t, func(conn net.Conn, _ *http.Request, _, _ int) bool {
				text := head + "a\r\n01234"
				if split {
					writeText(conn, text[:5])
					time.Sleep(time.Millisecond) // The head then arrives in two parts, mostly.
					text = text[5:]
				}
				writeText(conn, text)
				return false
			})
			resp, err := (&sender.Sender{Dialect: strictDialect{}}).Send(t.Context(), newAttempt(b, http.MethodPost, "", false))
			var f *sender.Failure
			if resp != nil || !errors.As(err, &f) || f.Outcome != sender.Unknown || f.Reason != "read" {
				t.Errorf("%q: got %v and error %v, want none and unknown: read", head, resp, err)
			}
		}
	}
}

// TestOldResponses guards against responses of HTTP/1.0 that are dropped although their end is
// clear, and against a name in the body that is taken for a field.
func TestOldResponses(t *testing.T) {
	body := "Transfer-Encoding: chunked\r\n\r\n"
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\n" + seal,
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\n" + seal,
		"HTTP/1.0 200 OK\nSeal: 3e1b.07\n\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\n" + seal,
	} {
		b := startServer(t, func(conn net.Conn, _ *http.Request, _, _ int) bool {
			writeText(conn, head+body)
			return false
		})
		resp, err := (&sender.Sender{Dialect: strictDialect{}}).Send(t.Context(), newAttempt(b, http.MethodPost, "", false))
		if got := readBody(t, resp, err); !strings.HasSuffix(got, body) {
			t.Errorf("%q: got body %q, want %q", head, got, body)
		}
	}
}
