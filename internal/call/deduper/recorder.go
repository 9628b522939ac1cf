package deduper

import (
	"maps"
	"net/http"

	"sardinelever.example/sardinelever/internal/call/sender"
)

// recorder writes a response to the caller and keeps a copy of it for repeats.
type recorder struct {
	http.ResponseWriter
	store     *Store
	record    *Record
	status    int
	header    http.Header
	body      []byte
	discarded bool // The copy was dropped because the store has no room for it.
}

// WriteHeader writes the status and, if it is the final one, records it and its
// headers.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 && status >= http.StatusOK {
		r.status, r.header = status, r.Header().Clone()
		sender.RemoveHopByHopHeaders(r.header) // The response is repeated on other connections.
		size := 0
		for name, values := range r.header {
			for _, v := range values {
				size += len(name) + len(v)
			}
		}
		r.reserve(size)
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write writes p and records it. While the response can be kept, a failed write
// to the caller is not an error: the response is completed for the next attempt.
func (r *recorder) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.reserve(len(p)) {
		r.body = append(r.body, p...)
	}
	n, err := r.ResponseWriter.Write(p)
	if r.discarded {
		return n, err
	}
	return len(p), nil
}

// Unwrap gives http.ResponseController access to the caller's connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// reserve reserves n more bytes in the store, or drops the copy when it has no
// room for them. It reports whether the response is still kept.
func (r *recorder) reserve(n int) bool {
	if !r.discarded && !r.store.ReserveBytes(r.record, n) {
		r.discarded, r.body = true, nil
	}
	return !r.discarded
}

// response returns the whole response, or nil when it is not kept.
func (r *recorder) response() *Response {
	if r.discarded || r.status == 0 {
		return nil
	}
	trailer := r.Header().Clone()
	trailer.Del("Connection")
	return &Response{Status: r.status, Header: r.header, Trailer: trailer, Body: r.body}
}

// writeTo writes the response to w.
func (r *Response) writeTo(w http.ResponseWriter) {
	maps.Copy(w.Header(), r.Header)
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
	maps.Copy(w.Header(), r.Trailer)
}
