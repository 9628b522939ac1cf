package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// run is a request that a backend began to work on.
type run struct {
	id, backend, path string
	at                time.Time
}

// backend is a stand-in for a backend server. It follows PROTOCOL.md: it expects its own
// id, runs slots requests at a time, queues a few more and refuses the rest.
type backend struct {
	id, service, zone, address string
	slots, queue               int
	work                       time.Duration
	record                     *recorder
	born                       int64

	mu               sync.Mutex
	running, waiting int
	freed            chan struct{}
	runs             []run
	arrivals         []run
}

func newBackend(r *recorder, id, service, zone string, slots int, work time.Duration) *backend {
	b := &backend{id: id, service: service, zone: zone, slots: slots, queue: 4 * slots, work: work, record: r, born: time.Now().UnixMilli(), freed: make(chan struct{})}
	l := listen()
	b.address = l.Addr().String()
	go func() { _ = http.Serve(l, b) }()
	return b
}

// entry returns what the backend writes to the store.
func (b *backend) entry(state string) map[string]any {
	return map[string]any{
		"Address": b.address, "born": b.born,
		"Info":   map[string]any{"Service": b.service, "Version": "v1", "Zone": b.zone, "Slots": b.slots},
		"Status": map[string]any{"State": state, "Sequence": 4, "ColdRemaining": "0ms"},
	}
}

func (b *backend) key() string { return "servers/" + b.id }

// setLoad sets the headers of each response.
func (b *backend) setLoad(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.Set("Sardinelever-Instance-Id", b.id)
	h.Set("Sardinelever-Server-Load", fmt.Sprintf("%d,%d,%d,100", b.running, b.waiting, b.slots))
}

// ServeHTTP answers a health check or a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Sardinelever-Request-Id")
	if r.URL.Path == "/healthz" {
		b.setLoad(w.Header())
		return
	}
	w.Header().Set("Sardinelever-Request-Id", id)
	if e := r.Header.Get("Sardinelever-Expect-Instance"); e != "" && e != b.id {
		b.setLoad(w.Header())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	b.mu.Lock()
	b.arrivals = append(b.arrivals, run{id, b.id, r.RequestURI, now})
	b.mu.Unlock()
	if !b.startWork() {
		b.setLoad(w.Header())
		w.Header().Set("Sardinelever-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		b.record.line("backend", "%s refused %s: full", b.id, id)
		return
	}
	b.mu.Lock()
	b.runs = append(b.runs, run{id, b.id, r.RequestURI, time.Now()})
	b.mu.Unlock()
	b.record.line("backend", "%s runs %s %s %s", b.id, id, r.Method, r.RequestURI)
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
	}
	b.endWork()
	b.setLoad(w.Header())
	body := fmt.Sprintf("answer of %s to %s\n", b.id, id)
	w.Header().Set("Sardinelever-Response-Seal", fmt.Sprintf("%x", sha256.Sum256([]byte(body)))[:16])
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// startWork waits for a slot; it returns false when the queue is full.
func (b *backend) startWork() bool {
	b.mu.Lock()
	if b.running >= b.slots && b.waiting >= b.queue {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	for b.running >= b.slots {
		freed := b.freed
		b.mu.Unlock()
		<-freed
		b.mu.Lock()
	}
	b.waiting--
	b.running++
	b.mu.Unlock()
	return true
}

func (b *backend) endWork() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	close(b.freed)
	b.freed = make(chan struct{})
}

// arrivalsAfter returns the requests that arrived after t.
func (b *backend) arrivalsAfter(t time.Time) (out []run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.arrivals {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}
