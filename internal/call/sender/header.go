package sender

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"sardinelever.example/sardinelever/internal/call/translator"
)

// hopByHopHeaders belong to one connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHop removes the headers that belong to one connection from h, including
// those that its Connection header names (RFC 9110 section 7.6.1).
func StripHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

func newBackendRequest(ctx context.Context, d translator.Dialect, a *Order) *http.Request {
	c := a.Call
	out := a.Request.Clone(ctx)
	out.RequestURI, out.Close, out.TransferEncoding, out.GetBody = "", false, nil, nil
	out.URL.Scheme, out.URL.Host = "http", a.Server.String()
	out.URL.Path, out.URL.RawPath = c.Path, rawPath(a.Request, c.Path)
	out.Body = http.NoBody
	if out.ContentLength != 0 && a.Body != nil {
		out.Body = a.Body
	}
	// The trailer map is filled while the body is read, so it must be the caller's.
	out.Trailer = a.Request.Trailer
	StripHop(out.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header.Set("User-Agent", "") // Keeps net/http from adding its own.
	}
	d.Write(out.Header, translator.Onward{
		Rank: c.Rank, Left: max(time.Until(c.Deadline), 0), Depth: c.Depth + 1,
		Attempt: a.Attempt, Budget: a.Budget, Identity: c.Identity, Server: a.Name,
	})
	return out
}

// rawPath returns the caller's own encoding of path when it ends the caller's
// path, and "" when the default encoding is the same.
func rawPath(r *http.Request, path string) string {
	raw := r.URL.RawPath
	if raw == "" || path == r.URL.Path {
		return raw
	}
	_, rest, _ := strings.Cut(strings.TrimPrefix(raw, "/"), "/")
	return "/" + rest
}
