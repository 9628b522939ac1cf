package publisher

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/platform/reader"
)

// Publisher serves /config and /list. The zero value holds nothing.
type Publisher struct {
	Reads atomic.Int64 // Calls to /config so far.
	Down  atomic.Bool  // Down answers every call with 503.

	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	text     []byte
	list     reader.List
}

// Publish replaces the bundle and returns its revision.
func (p *Publisher) Publish(text []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.text = text
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
	return p.revision
}

// SetList replaces the list.
func (p *Publisher) SetList(entries []reader.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = reader.List{Time: time.Now(), Entries: entries}
}

// ServeHTTP answers reads and watches of instances.
func (p *Publisher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.Down.Load() {
		http.Error(w, "platform is down", http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/config":
		p.Reads.Add(1)
		p.serveConfig(w, r)
	case "/list":
		p.serveList(w)
	default:
		http.NotFound(w, r)
	}
}

func (p *Publisher) serveConfig(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	rev, text := p.await(r.Context(), after, wait)
	if rev == after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Revision", strconv.FormatUint(rev, 10))
	_, _ = w.Write(text)
}

func (p *Publisher) await(ctx context.Context, after uint64, wait time.Duration) (uint64, []byte) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		rev, text := p.revision, p.text
		if p.changed == nil {
			p.changed = make(chan struct{})
		}
		changed := p.changed
		p.mu.Unlock()
		if rev != after {
			return rev, text
		}
		select {
		case <-changed:
		case <-timer.C:
			return rev, text
		case <-ctx.Done():
			return rev, text
		}
	}
}

func (p *Publisher) serveList(w http.ResponseWriter) {
	p.mu.Lock()
	l := p.list
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}
