package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store, as the page of the protocol describes it.
type store struct {
	addr     string
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

type storeItem struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Deleted  bool `json:",omitempty"`
}

const (
	pageItems = 500
	pageBytes = 1 << 20
	// valueBytes is ValueBytes of the settings.
	valueBytes = 1 << 20
)

func (l *lab) startStore() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.store = &store{addr: ln.Addr().String(), revision: 10, items: map[string]storeItem{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", l.store.serveKey)
	mux.HandleFunc("GET /api/kv-range", l.store.serveRange)
	mux.HandleFunc("GET /api/kv-watch", l.store.serveWatch)
	go func() { _ = http.Serve(ln, mux) }()
	return nil
}

// put writes an item and returns the time of the confirmation.
func (s *store) put(key string, value any) (time.Time, error) {
	text, ok := value.([]byte)
	if !ok {
		text, _ = json.Marshal(value)
	}
	if len(text) > valueBytes {
		return time.Time{}, fmt.Errorf("the value of %s has %d bytes, more than ValueBytes", key, len(text))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	item := storeItem{Key: key, Value: text, Revision: s.revision, Created: created}
	s.items[key] = item
	s.announce(item)
	return time.Now(), nil
}

func (s *store) announce(item storeItem) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.FormValue("Key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		storeItem
		At uint64
	}{item, at})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("Prefix"), r.FormValue("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items   []storeItem `json:"items"`
		HasMore bool
		At      uint64
	}{Items: []storeItem{}, At: s.revision}
	size := 0
	for _, k := range keys {
		item := s.items[k]
		if size += len(item.Value); len(page.Items) == pageItems || size > pageBytes && len(page.Items) > 0 {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, item)
	}
	s.mu.Unlock()
	answer(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("Prefix")
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("WaitMs"))
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for done := false; ; {
		s.mu.Lock()
		page := struct {
			Events []storeItem `json:"events"`
			At     uint64
		}{Events: []storeItem{}, At: s.revision}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				page.Events = append(page.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(page.Events) > 0 || done {
			answer(w, page)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}
