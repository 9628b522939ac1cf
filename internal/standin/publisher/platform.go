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

	mu             sync.Mutex
	bundleChanged  chan struct{}
	bundles        [][]byte // Bundles by revision; revision 1 is the first.
	servedRevision uint64   // Revision that is served instead of the latest; 0 means none.
	pendingLists   []datedList
	frozenList     *reader.List
	configRate     rateCounter
}

// datedList is a list and the time from which it is shown without lag.
type datedList struct {
	setAt time.Time
	list  reader.List
}

// Publish replaces the bundle and returns its revision.
func (p *Publisher) Publish(bundle []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bundles = append(p.bundles, bundle)
	p.notifyWatches()
	return uint64(len(p.bundles))
}

// Rewind publishes the bundle of an earlier revision again under a new one
// and returns the new revision.
func (p *Publisher) Rewind(revision uint64) uint64 {
	p.mu.Lock()
	bundle := p.bundles[revision-1]
	p.mu.Unlock()
	return p.Publish(bundle)
}

// Stale serves an earlier revision instead of the latest; 0 ends that.
func (p *Publisher) Stale(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servedRevision = revision
	p.notifyWatches()
}

func (p *Publisher) notifyWatches() {
	if p.bundleChanged != nil {
		close(p.bundleChanged)
		p.bundleChanged = nil
	}
}

// SetList replaces the list; it is shown after Lag.
func (p *Publisher) SetList(entries []reader.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.pendingLists = append(p.pendingLists, datedList{setAt: now, list: reader.List{Time: now, Entries: entries}})
}

// Freeze makes /list keep its present content until it is called with false.
func (p *Publisher) Freeze(frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozenList = nil
	if frozen {
		list := p.visibleList(time.Now())
		p.frozenList = &list
	}
}

// Peak returns the largest number of calls to /config in one second of the clock.
func (p *Publisher) Peak() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.configRate.peak
}

// ServeHTTP answers reads and watches of instances.
func (p *Publisher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/config":
		p.Reads.Add(1)
		p.mu.Lock()
		p.configRate.countEvent(time.Now().Unix())
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
	if p.takeError() {
		http.Error(w, "platform has an internal error", http.StatusInternalServerError)
		return
	}
	if r.URL.Path == "/list" {
		p.serveList(w, r)
		return
	}
	p.serveConfig(w, r)
}

// takeError takes one of the errors that remain.
func (p *Publisher) takeError() bool {
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
	revision, bundle := p.awaitChange(r.Context(), after, wait)
	p.Pending.Add(-1)
	if revision == after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Revision", strconv.FormatUint(revision, 10))
	_, _ = w.Write(bundle)
}

func (p *Publisher) awaitChange(ctx context.Context, after uint64, wait time.Duration) (uint64, []byte) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		revision, bundle, changed := p.currentBundle()
		if revision != after {
			return revision, bundle
		}
		select {
		case <-changed:
		case <-timer.C:
			return revision, bundle
		case <-ctx.Done():
			return revision, bundle
		}
	}
}

// currentBundle returns what is served at present and a channel that is closed when that changes.
func (p *Publisher) currentBundle() (uint64, []byte, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bundleChanged == nil {
		p.bundleChanged = make(chan struct{})
	}
	revision := uint64(len(p.bundles))
	if p.servedRevision > 0 {
		revision = p.servedRevision
	}
	if revision == 0 {
		return 0, nil, p.bundleChanged
	}
	return revision, p.bundles[revision-1], p.bundleChanged
}

func (p *Publisher) serveList(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	list := p.visibleList(time.Now())
	p.mu.Unlock()
	text, _ := json.Marshal(list)
	etag := fmt.Sprintf("%q", fmt.Sprintf("%016x", xxhash.Sum64(text)))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	n, _ := w.Write(text)
	p.ListBytes.Add(int64(n))
}

// visibleList returns the latest list that is at least as old as the lag, and forgets those before it.
func (p *Publisher) visibleList(now time.Time) reader.List {
	if p.frozenList != nil {
		return *p.frozenList
	}
	lag := time.Duration(p.Lag.Load())
	for len(p.pendingLists) > 1 && now.Sub(p.pendingLists[1].setAt) >= lag {
		p.pendingLists = p.pendingLists[1:]
	}
	if len(p.pendingLists) == 0 {
		return reader.List{Time: now}
	}
	return p.pendingLists[0].list
}

// rateCounter counts events in each second of the clock.
type rateCounter struct {
	second, count, peak int64
}

func (c *rateCounter) countEvent(second int64) {
	if second != c.second {
		c.second, c.count = second, 0
	}
	c.count++
	c.peak = max(c.peak, c.count)
}
