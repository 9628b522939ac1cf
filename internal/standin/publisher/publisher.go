package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinelever.example/sardinelever/internal/flow/sleeper"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

// Publisher serves /config and /list. The zero value holds nothing. All
// methods and fields may be used while it serves.
type Publisher struct {
	Reads     atomic.Int64 // Calls to /config so far.
	Pending   atomic.Int64 // Watches that wait at the moment.
	Lists     atomic.Int64 // Calls to /list so far.
	ListBytes atomic.Int64 // Bytes of lists sent so far.
	Down      atomic.Bool  // Down answers every call with 503.
	Errors    atomic.Int64 // Number of following calls that are answered with 500.
	Delay     atomic.Int64 // Nanoseconds added to each answer.
	Lag       atomic.Int64 // Nanoseconds after which /list shows a change.

	mu      sync.Mutex
	changed chan struct{}
	texts   [][]byte // Bundles by revision; revision 1 is the first.
	stale   uint64   // Revision that is served instead of the latest; 0 means none.
	lists   []dated
	frozen  *reader.List
	counter counter
}

// dated is a list and the time from which it is shown without lag.
type dated struct {
	set  time.Time
	list reader.List
}

// Publish replaces the bundle and returns its revision.
func (p *Publisher) Publish(text []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.texts = append(p.texts, text)
	p.wake()
	return uint64(len(p.texts))
}

// Rewind publishes the bundle of an earlier revision again under a new one
// and returns the new revision.
func (p *Publisher) Rewind(revision uint64) uint64 {
	p.mu.Lock()
	text := p.texts[revision-1]
	p.mu.Unlock()
	return p.Publish(text)
}

// Stale serves an earlier revision instead of the latest; 0 ends that.
func (p *Publisher) Stale(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = revision
	p.wake()
}

func (p *Publisher) wake() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// SetList replaces the list; it is shown after Lag.
func (p *Publisher) SetList(entries []reader.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.lists = append(p.lists, dated{set: now, list: reader.List{Time: now, Entries: entries}})
}

// Freeze makes /list keep its present content until it is called with false.
func (p *Publisher) Freeze(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if on {
		l := p.shown(time.Now())
		p.frozen = &l
	}
}

// Peak returns the largest number of calls to /config in one second of the clock.
func (p *Publisher) Peak() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counter.peak
}

// ServeHTTP answers reads and watches of instances.
func (p *Publisher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/config":
		p.Reads.Add(1)
		p.mu.Lock()
		p.counter.add(time.Now().Unix())
		p.mu.Unlock()
	case "/list":
		p.Lists.Add(1)
	default:
		http.NotFound(w, r)
		return
	}
	if d := time.Duration(p.Delay.Load()); d > 0 && !sleeper.Sleep(r.Context(), d) {
		return
	}
	if p.Down.Load() {
		http.Error(w, "platform is down", http.StatusServiceUnavailable)
		return
	}
	if p.fails() {
		http.Error(w, "platform has an internal error", http.StatusInternalServerError)
		return
	}
	if r.URL.Path == "/list" {
		p.serveList(w, r)
		return
	}
	p.serveConfig(w, r)
}

// fails takes one of the errors that remain.
func (p *Publisher) fails() bool {
	for {
		n := p.Errors.Load()
		if n <= 0 {
			return false
		}
		if p.Errors.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

func (p *Publisher) serveConfig(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	p.Pending.Add(1)
	rev, text := p.await(r.Context(), after, wait)
	p.Pending.Add(-1)
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
		rev, text, changed := p.latest()
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

// latest returns what is served at present and a channel that is closed when that changes.
func (p *Publisher) latest() (uint64, []byte, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	rev := uint64(len(p.texts))
	if p.stale > 0 {
		rev = p.stale
	}
	if rev == 0 {
		return 0, nil, p.changed
	}
	return rev, p.texts[rev-1], p.changed
}

func (p *Publisher) serveList(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	l := p.shown(time.Now())
	p.mu.Unlock()
	text, _ := json.Marshal(l)
	tag := fmt.Sprintf("%q", fmt.Sprintf("%016x", xxhash.Sum64(text)))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	n, _ := w.Write(text)
	p.ListBytes.Add(int64(n))
}

// shown returns the latest list that is at least as old as the lag, and forgets those before it.
func (p *Publisher) shown(now time.Time) reader.List {
	if p.frozen != nil {
		return *p.frozen
	}
	lag := time.Duration(p.Lag.Load())
	for len(p.lists) > 1 && now.Sub(p.lists[1].set) >= lag {
		p.lists = p.lists[1:]
	}
	if len(p.lists) == 0 {
		return reader.List{Time: now}
	}
	return p.lists[0].list
}

// counter counts events in each second of the clock.
type counter struct {
	second, count, peak int64
}

func (c *counter) add(second int64) {
	if second != c.second {
		c.second, c.count = second, 0
	}
	c.count++
	c.peak = max(c.peak, c.count)
}
