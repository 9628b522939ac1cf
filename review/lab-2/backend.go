package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backend is a sound stand-in for a backend server.
type backend struct {
	id, service, zone, addr string
	slots, queue            int
	work                    time.Duration
	born                    int64
	runs                    *runs
	// losesAnswer reports whether the answer of a run is lost: the connection is reset
	// instead. nil means that none is.
	losesAnswer func() bool

	mu               sync.Mutex
	running, waiting int
	free             chan struct{}
}

// runs records which requests have run at any backend server.
type runs struct {
	mu   sync.Mutex
	byID map[string][]runRecord
}

type runRecord struct {
	at                    time.Time
	server, service       string
	method, uri, bodyHash string
}

func newRuns() *runs { return &runs{byID: map[string][]runRecord{}} }

func (r *runs) add(id string, x runRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], x)
}

func (r *runs) of(id string) []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]runRecord(nil), r.byID[id]...)
}

// startBackend starts a backend server and registers it in the store.
func (l *lab) startBackend(b *backend) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.addr, b.born = ln.Addr().String(), time.Now().UnixMilli()
	b.free = make(chan struct{}, b.slots)
	for range b.slots {
		b.free <- struct{}{}
	}
	go func() { _ = http.Serve(ln, b) }()
	return b.report(l.store, "ready", 1)
}

func (b *backend) report(s *store, state string, sequence int) error {
	_, err := s.put("servers/"+b.id, map[string]any{
		"Address": b.addr, "born": b.born,
		"Info":   map[string]any{"Service": b.service, "Version": "v1", "Zone": b.zone, "Slots": b.slots},
		"Status": map[string]any{"State": state, "Sequence": sequence, "ColdRemaining": "0ms"},
	})
	return err
}

// ServeHTTP serves a request or a health check.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Sardinelever-Server-Load", b.load())
	if r.URL.Path == "/healthz" {
		w.Header().Set("Sardinelever-Instance-Id", b.id)
		return
	}
	id := r.Header.Get("Sardinelever-Request-Id")
	w.Header().Set("Sardinelever-Request-Id", id)
	if want := r.Header.Get("Sardinelever-Expect-Instance"); want != "" && want != b.id {
		w.Header().Set("Sardinelever-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil || id == "":
		b.refuse(w, http.StatusBadRequest)
	case !b.awaitSlot(r):
		b.refuse(w, http.StatusServiceUnavailable)
	default:
		b.runs.add(id, runRecord{time.Now(), b.id, b.service, r.Method, r.RequestURI, hashOf(string(body))})
		b.runRequest(w, r, id)
	}
}

// load returns the running and the waiting requests, the slots and the usual speed.
func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", b.running, b.waiting, b.slots)
}

// awaitSlot waits in the queue for a slot. It returns false if the queue is full or the time
// of r is over before.
func (b *backend) awaitSlot(r *http.Request) (ok bool) {
	b.mu.Lock()
	if b.waiting >= b.queue {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("Sardinelever-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	queued := time.NewTimer(limit)
	defer queued.Stop()
	select {
	case <-b.free:
		ok = true
	case <-queued.C:
	case <-r.Context().Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	if ok {
		b.running++
	}
	return ok
}

// runRequest works on a request that has a slot, frees the slot and answers.
func (b *backend) runRequest(w http.ResponseWriter, r *http.Request, id string) {
	work := time.NewTimer(b.work)
	select {
	case <-work.C:
	case <-r.Context().Done():
	}
	work.Stop()
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	b.free <- struct{}{}
	if b.losesAnswer != nil && b.losesAnswer() {
		resetConn(w)
		return
	}
	text := "answer to " + id + " of " + b.id + "\n"
	w.Header().Set("Sardinelever-Response-Seal", hashOf(text))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

func (b *backend) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Sardinelever-Not-Executed", "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// resetConn resets the connection of w without an answer.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// hashOf returns a short hash of text.
func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}
