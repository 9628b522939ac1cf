package sender

import (
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/call/estimator"
)

const (
	// A repeatable call without a byte of its answer after patienceFactor x the
	// 95th percentile of its service, within the two bounds, takes its reused
	// connection for silent. With lognormal times of sigma 1, 0.3% of the calls
	// on a connection that works take longer.
	patienceFactor = 3
	leastPatience  = 50 * time.Millisecond
	mostPatience   = time.Second
	// repeatTokens bounds the repeats that were not confirmed, and repeatShare
	// is the share of a service's calls that may be repeated without being
	// confirmed: a slow server uses the tokens up, a silent connection does not.
	repeatTokens = 20.0
	repeatShare  = 0.02
)

// watcher decides how long the calls of one service wait on a reused
// connection before they are sent again.
type watcher struct {
	latencies *estimator.Estimator

	mu    sync.Mutex
	spent float64
}

func newWatcher() *watcher { return &watcher{latencies: estimator.New()} }

func (w *watcher) patience() time.Duration {
	p := w.latencies.Estimate()
	if p == 0 {
		return mostPatience
	}
	return min(max(patienceFactor*p, leastPatience), mostPatience)
}

func (w *watcher) earn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spent = max(w.spent-repeatShare, 0)
}

func (w *watcher) take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.spent+1 > repeatTokens {
		return false
	}
	w.spent++
	return true
}

// refund gives back the token of a repeat that was confirmed.
func (w *watcher) refund() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spent = max(w.spent-1, 0)
}

// guard closes a connection that gives no byte of an answer in time.
type guard struct {
	watcher *watcher
	link    *link
	timer   *time.Timer

	mu    sync.Mutex
	ended bool
	fired bool
}

// start closes the connection of l after patience unless stop is called before.
func (w *watcher) start(l *link, patience time.Duration) *guard {
	g := &guard{watcher: w, link: l}
	g.timer = time.AfterFunc(patience, g.fire)
	return g
}

func (g *guard) fire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended || g.link.conn.heard() || !g.watcher.take() {
		return
	}
	g.fired = true
	g.link.conn.seal()
	_ = g.link.Close()
}

// stop ends the watch and reports whether the connection was closed as silent.
func (g *guard) stop() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	g.timer.Stop()
	return g.fired
}

// watcher returns the watcher of a service.
func (s *Sender) watcher(service string) *watcher {
	s.once.Do(s.setup)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watchers[service]
	if w == nil {
		w = newWatcher()
		s.watchers[service] = w
	}
	return w
}
