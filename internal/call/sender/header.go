package sender

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"sardinelever.example/sardinelever/internal/call/translator"
)

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders removes the headers that apply to a single connection
// from h, including those listed in its Connection header (RFC 9110 section
// 7.6.1).
func RemoveHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// newBackendRequest returns the request of a in the form in which it is sent to
// the backend server.
func newBackendRequest(ctx context.Context, d translator.Dialect, a *Attempt) *http.Request {
	c := a.Call
	out := a.Request.Clone(ctx)
	out.RequestURI, out.Close, out.TransferEncoding, out.GetBody = "", false, nil, nil
	out.URL.Scheme, out.URL.Host = "http", a.Server.String()
	out.URL.Path, out.URL.RawPath = c.Path, rawPath(a.Request, c.Path)
	out.Body = http.NoBody
	if out.ContentLength != 0 && a.Body != nil {
		out.Body = a.Body
	}
	// net/http fills the trailer map of the caller's request while the body is
	// read, so the new request must use that map and not a copy.
	out.Trailer = a.Request.Trailer
	RemoveHopByHopHeaders(out.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header.Set("User-Agent", "") // Prevents net/http from adding its default.
	}
	d.SetRequestHeaders(out.Header, translator.ForwardMetadata{
		Rank: c.Rank, Remaining: max(time.Until(c.Deadline), 0), Depth: c.Depth + 1,
		Attempt: a.Number, RetryBudget: a.RetryBudget, IdempotencyKey: c.IdempotencyKey, ServerName: a.ServerName,
	})
	return out
}

// rawPath returns the caller's encoding of path, which is the path of r with or
// without its first segment, or "" when it is the default encoding.
func rawPath(r *http.Request, path string) string {
	raw := r.URL.RawPath
	if raw == "" || path == r.URL.Path {
		return raw
	}
	_, rest, _ := strings.Cut(strings.TrimPrefix(raw, "/"), "/")
	return "/" + rest
}
