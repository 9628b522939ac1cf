package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// change is one change of a key in the store.
type change struct {
	key      string
	value    []byte
	revision uint64
	deleted  bool
	at       time.Time
}

// store is a stand-in for the platform's metadata store. It answers kv-range and
// kv-watch as PROTOCOL.md says and is linearizable unless the caller sends StaleOk.
type store struct {
	// pageItems is the largest number of items in a page.
	pageItems int
	// delay is the time by which each answer is late, in nanoseconds.
	delay atomic.Int64

	mu       sync.Mutex
	log      []change
	revision uint64
	changed  chan struct{}
	record   *recorder
	address  string
}

func newStore(r *recorder) *store {
	s := &store{changed: make(chan struct{}), record: r, pageItems: 500}
	l := listen()
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, &storeFront{store: s, staleAges: []time.Duration{0}}) }()
	return s
}

// storeFront is an address of the store. Its answers to reads with StaleOk come from
// copies that are behind by staleAges, in turn.
type storeFront struct {
	*store
	staleAges []time.Duration
	reads     atomic.Int64
}

// listenStale opens another address of the store and returns it.
func (s *store) listenStale(ages ...time.Duration) string {
	l := listen()
	front := &storeFront{store: s, staleAges: ages}
	go func() { _ = http.Serve(l, front) }()
	return l.Addr().String()
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

// put writes a key and returns the time of the confirmation.
func (s *store) put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode: %v", err)
	}
	return s.apply(change{key: key, value: text})
}

// remove deletes a key and returns the time of the confirmation.
func (s *store) remove(key string) time.Time { return s.apply(change{key: key, deleted: true}) }

func (s *store) apply(c change) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c.revision, c.at = s.revision, time.Now()
	s.log = append(s.log, c)
	close(s.changed)
	s.changed = make(chan struct{})
	s.record.line("store", "revision %d: %s deleted=%v %s", c.revision, c.key, c.deleted, c.value)
	return c.at
}

// itemsAt returns the items as they were at time t, sorted by key, and the revision then.
func (s *store) itemsAt(t time.Time) (items []change, revision uint64) {
	state := make(map[string]change)
	for _, c := range s.log {
		if c.at.After(t) {
			break
		}
		state[c.key], revision = c, c.revision
	}
	for _, c := range state {
		if !c.deleted {
			items = append(items, c)
		}
	}
	slices.SortFunc(items, func(a, b change) int { return strings.Compare(a.key, b.key) })
	return items, revision
}

func encodeChange(c change) map[string]any {
	if c.deleted {
		return map[string]any{"Key": c.key, "Revision": c.revision, "Deleted": true}
	}
	return map[string]any{"Key": c.key, "Revision": c.revision, "Created": c.revision, "Lease": 0, "Value": base64.StdEncoding.EncodeToString(c.value)}
}

// ServeHTTP answers a read.
func (s *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-range":
		s.serveRange(w, r, q)
	case "/api/kv-watch":
		s.serveWatch(w, r, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *storeFront) serveRange(w http.ResponseWriter, r *http.Request, q url.Values) {
	s.mu.Lock()
	t, age := time.Now(), time.Duration(0)
	if q.Get("StaleOk") == "1" {
		age = s.staleAges[int(s.reads.Add(1)-1)%len(s.staleAges)]
	}
	all, revision := s.itemsAt(t.Add(-age))
	s.mu.Unlock()
	items, more := []any{}, false
	for _, c := range all {
		if c.key <= q.Get("after") || !strings.HasPrefix(c.key, q.Get("Prefix")) {
			continue
		}
		if more = len(items) == s.pageItems; more {
			break
		}
		items = append(items, encodeChange(c))
	}
	s.record.line("store", "range from %s after=%q stale=%s age=%v: %d items at revision %d", r.RemoteAddr, q.Get("after"), q.Get("StaleOk"), age, len(items), revision)
	s.answer(w, map[string]any{"items": items, "HasMore": more, "At": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, q url.Values) {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for done := false; ; {
		s.mu.Lock()
		events, at, changed := []any{}, s.revision, s.changed
		for _, c := range s.log {
			if c.revision > after && strings.HasPrefix(c.key, q.Get("Prefix")) {
				events = append(events, encodeChange(c))
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || done {
			s.answer(w, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

// answer sends the answer to a read.
func (s *store) answer(w http.ResponseWriter, v any) {
	time.Sleep(time.Duration(s.delay.Load()))
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		fmt.Println("store:", err)
	}
}
