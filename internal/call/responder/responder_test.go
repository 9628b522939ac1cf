package responder_test

import (
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"sardinelever.example/sardinelever/internal/call/responder"
	"sardinelever.example/sardinelever/internal/call/sender"
)

// startServer starts an HTTP/1.1 or HTTP/2 server that copies the response that
// newResponse returns.
func startServer(t *testing.T, http2 bool, newResponse func() *http.Response) *httptest.Server {
	t.Helper()
	re := &responder.Responder{Instance: "one"}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { re.CopyResponse(w, r, newResponse()) }))
	s.EnableHTTP2 = http2
	s.TLS = &tls.Config{}
	s.StartTLS()
	t.Cleanup(s.Close)
	return s
}

func newResponse(body io.Reader, length int64) *http.Response {
	return &http.Response{
		StatusCode: http.StatusOK, ContentLength: length, Body: io.NopCloser(body),
		Header:  http.Header{"Connection": {"secret"}, "Secret": {"1"}, "Sardine-Load": {"1/2"}, "Sardine-Outcome": {"rejected"}, "Kept": {"1"}},
		Trailer: http.Header{"End": {"yes"}},
	}
}

// TestTruncatedResponse guards against a response that broke off and looks complete
// to the caller.
func TestTruncatedResponse(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		for _, length := range []int64{-1, 10} {
			s := startServer(t, http2, func() *http.Response {
				return newResponse(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(errors.New("cut"))), length)
			})
			resp, err := s.Client().Get(s.URL)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			if err == nil {
				t.Errorf("HTTP/2 %v, length %d: got no error, want one", http2, length)
			}
		}
	}
}

// TestCopyHeaders guards against hop-by-hop headers and headers for instances that
// reach the caller, and against lost trailers.
func TestCopyHeaders(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		s := startServer(t, http2, func() *http.Response { return newResponse(strings.NewReader("whole"), -1) })
		resp, err := s.Client().Get(s.URL)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		if err != nil || string(text) != "whole" {
			t.Errorf("got %q, %v, want whole", text, err)
		}
		got := []string{
			resp.Header.Get("Secret"), resp.Header.Get("Sardine-Load"), resp.Header.Get("Sardine-Outcome"),
			resp.Header.Get("Kept"), resp.Header.Get("Sardine-Instance"), resp.Trailer.Get("End"),
		}
		if want := ",,,1,one,yes"; strings.Join(got, ",") != want {
			t.Errorf("HTTP/2 %v: got %v, want %v", http2, got, want)
		}
	}
}

// TestStreamIsNotBuffered guards against a part of a stream that is sent only when
// the next part arrives.
func TestStreamIsNotBuffered(t *testing.T) {
	r, w := io.Pipe()
	s := startServer(t, false, func() *http.Response { return newResponse(r, -1) })
	resp, err := s.Client().Get(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	part := make([]byte, 4)
	for range 2 {
		if _, err := io.WriteString(w, "part"); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(resp.Body, part); err != nil || string(part) != "part" {
			t.Errorf("got %q, %v, want part", part, err)
		}
	}
	_ = w.Close()
}

// TestReportSpreadsRetryAfter guards against rejected callers that all get the same
// Retry-After and so retry at the same time.
func TestReportSpreadsRetryAfter(t *testing.T) {
	seen := make(map[int]bool)
	for range 200 {
		w := httptest.NewRecorder()
		new(responder.Responder).WriteErrorReport(w, responder.ErrorReport{Outcome: sender.Rejected, StatusCode: http.StatusServiceUnavailable, Reason: "full", RetryAfter: 10 * time.Second})
		n, err := strconv.Atoi(w.Header().Get("Retry-After"))
		if err != nil || n < 10 || n > 22 {
			t.Fatalf("got Retry-After %d, %v, want 10 to 22", n, err)
		}
		seen[n] = true
		if got, want := w.Body.String(), "The call was not run: full\n"; got != want {
			t.Fatalf("got text %q, want %q", got, want)
		}
	}
	if len(seen) < 5 {
		t.Errorf("got only the values %v, want them spread", seen)
	}
}
