package deduper

import (
	"maps"
	"net/http"

	"sardinelever.example/sardinelever/internal/call/sender"
)

// recorder passes an answer on and keeps a copy of it for repeats.
type recorder struct {
	http.ResponseWriter
	store  *Store
	rec    *Record
	status int
	header http.Header
	body   []byte
	lost   bool // The answer is too large to be kept.
}

// WriteHeader records the final status and its headers.
func (w *recorder) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status, w.header = status, w.Header().Clone()
		sender.StripHop(w.header) // Repeats come on other connections.
		size := 0
		for name, values := range w.header {
			for _, v := range values {
				size += len(name) + len(v)
			}
		}
		w.keep(size)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write records p. While the answer can be kept, a caller that hung up is no
// error: the answer is completed for the caller's next attempt.
func (w *recorder) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.keep(len(p)) {
		w.body = append(w.body, p...)
	}
	n, err := w.ResponseWriter.Write(p)
	if w.lost {
		return n, err
	}
	return len(p), nil
}

// Unwrap lets http.ResponseController reach the caller's connection.
func (w *recorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *recorder) keep(n int) bool {
	if !w.lost && !w.store.Reserve(w.rec, n) {
		w.lost, w.body = true, nil
	}
	return !w.lost
}

// answer returns the whole answer, or nil when it is not kept.
func (w *recorder) answer() *Answer {
	if w.lost || w.status == 0 {
		return nil
	}
	trailer := w.Header().Clone()
	trailer.Del("Connection")
	return &Answer{Status: w.status, Header: w.header, Trailer: trailer, Body: w.body}
}

func (a *Answer) write(w http.ResponseWriter) {
	maps.Copy(w.Header(), a.Header)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	maps.Copy(w.Header(), a.Trailer)
}
