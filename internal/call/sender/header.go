package sender

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// hopHeaders belong to one connection and are never forwarded.
var hopHeaders = []string{
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
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

func outgoing(ctx context.Context, o *Order) *http.Request {
	c := o.Call
	out := o.Request.Clone(ctx)
	out.RequestURI, out.Close, out.TransferEncoding, out.GetBody = "", false, nil, nil
	out.URL.Scheme, out.URL.Host = "http", o.Server.String()
	out.URL.Path, out.URL.RawPath = c.Path, rawPath(o.Request, c.Path)
	out.Body = http.NoBody
	if out.ContentLength != 0 && o.Body != nil {
		out.Body = o.Body
	}
	// The trailer map is filled while the body is read, so it must be the caller's.
	out.Trailer = o.Request.Trailer
	StripHop(out.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header.Set("User-Agent", "") // Keeps net/http from adding its own.
	}
	left := max(time.Until(c.Deadline).Milliseconds(), 0)
	out.Header.Set("Sardine-Deadline", strconv.FormatInt(left, 10))
	out.Header.Set("Sardine-Rank", c.Rank.String())
	out.Header.Set("Sardine-Depth", strconv.Itoa(c.Depth+1))
	out.Header.Set("Sardine-Budget", strconv.Itoa(o.Budget))
	out.Header.Set("Sardine-Attempt", strconv.Itoa(o.Attempt))
	if c.Identity != "" {
		out.Header.Set("Sardine-Id", c.Identity)
	}
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
