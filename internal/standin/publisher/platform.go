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

// Platform is an HTTP handler of /config and /list. The zero value is ready to use and
// has no bundle and an empty list. All methods and fields can be used while it serves.
type Platform struct {
	ConfigRequests     atomic.Int64 // Requests for /config so far.
	PendingWatches     atomic.Int64 // Requests for /config that wait for a new revision.
	ListRequests       atomic.Int64 // Requests for /list so far.
	ListBytesSent      atomic.Int64 // Bytes of list bodies sent so far.
	Unavailable        atomic.Bool  // Every request gets status 503.
	InternalErrors     atomic.Int64 // Number of next requests that get status 500.
	ResponseDelayNanos atomic.Int64 // Delay before each response.
	ListLagNanos       atomic.Int64 // Time from SetList until /list shows the new list.

	mu             sync.Mutex
	bundleChanged  chan struct{} // Closed at the next change of the served bundle; created on demand.
	bundles        [][]byte      // The bundle of revision n is at index n-1.
	servedRevision uint64        // Served instead of the latest revision; 0 means the latest.
	pendingLists   []datedList   // The list that is shown, then later ones that the lag holds back.
	frozenList     *reader.List  // Shown instead while not nil.
	configRate     rateCounter
}

// datedList is a list and the time at which SetList was called with it.
type datedList struct {
	setAt time.Time
	list  reader.List
}

// PublishBundle adds bundle as the latest revision and returns that revision.
func (p *Platform) PublishBundle(bundle []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bundles = append(p.bundles, bundle)
	p.notifyWatches()
	return uint64(len(p.bundles))
}

// RepublishRevision publishes the bundle of an earlier revision again under a new
// revision and returns the new one.
func (p *Platform) RepublishRevision(revision uint64) uint64 {
	p.mu.Lock()
	bundle := p.bundles[revision-1]
	p.mu.Unlock()
	return p.PublishBundle(bundle)
}

// ServeRevision makes /config serve an earlier revision instead of the latest, as an
// outdated replica does; 0 serves the latest again.
func (p *Platform) ServeRevision(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servedRevision = revision
	p.notifyWatches()
}

func (p *Platform) notifyWatches() {
	if p.bundleChanged != nil {
		close(p.bundleChanged)
		p.bundleChanged = nil
	}
}

// SetList replaces the list. /list shows it after ListLagNanos; the first list is
// shown at once.
func (p *Platform) SetList(entries []reader.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.pendingLists = append(p.pendingLists, datedList{setAt: now, list: reader.List{Time: now, Entries: entries}})
}

// FreezeList makes /list keep its current content when frozen is true, and follow
// SetList again when it is false.
func (p *Platform) FreezeList(frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozenList = nil
	if frozen {
		list := p.visibleList(time.Now())
		p.frozenList = &list
	}
}

// PeakConfigRequests returns the largest number of requests for /config within one
// second of Unix time.
func (p *Platform) PeakConfigRequests() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.configRate.peak
}

// ServeHTTP answers requests for /config and /list.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/config":
		p.ConfigRequests.Add(1)
		p.mu.Lock()
		p.configRate.countEvent(time.Now().Unix())
		p.mu.Unlock()
	case "/list":
		p.ListRequests.Add(1)
	default:
		http.NotFound(w, r)
		return
	}
	if d := time.Duration(p.ResponseDelayNanos.Load()); d > 0 && !sleeper.Sleep(r.Context(), d) {
		return
	}
	if p.Unavailable.Load() {
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

// takeError reports whether this request must fail, and counts it off the remaining
// errors.
func (p *Platform) takeError() bool {
	for {
		n := p.InternalErrors.Load()
		if n <= 0 {
			return false
		}
		if p.InternalErrors.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	p.PendingWatches.Add(1)
	revision, bundle := p.awaitChange(r.Context(), after, wait)
	p.PendingWatches.Add(-1)
	if revision == after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Revision", strconv.FormatUint(revision, 10))
	_, _ = w.Write(bundle)
}

// awaitChange returns the served revision and its bundle once the revision differs from
// after, and at the latest when wait has passed or ctx ends.
func (p *Platform) awaitChange(ctx context.Context, after uint64, wait time.Duration) (uint64, []byte) {
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

// currentBundle returns the served revision, its bundle and a channel that is closed when
// they change.
func (p *Platform) currentBundle() (uint64, []byte, <-chan struct{}) {
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

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
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
	p.ListBytesSent.Add(int64(n))
}

// visibleList returns the frozen list, or the latest one that was set at least the
// lag ago, or else the first one. It removes the lists before that.
func (p *Platform) visibleList(now time.Time) reader.List {
	if p.frozenList != nil {
		return *p.frozenList
	}
	lag := time.Duration(p.ListLagNanos.Load())
	for len(p.pendingLists) > 1 && now.Sub(p.pendingLists[1].setAt) >= lag {
		p.pendingLists = p.pendingLists[1:]
	}
	if len(p.pendingLists) == 0 {
		return reader.List{Time: now}
	}
	return p.pendingLists[0].list
}

// rateCounter counts the events in the current second of Unix time and keeps the
// largest count of any second.
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
