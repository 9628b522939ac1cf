package asker

import (
	"net/netip"
	"sync"
	"time"
)

// Slot is the right to send one call to Server; it is given back by Release.
type Slot struct {
	Server netip.AddrPort
	Home   string        // Instance that granted the slot; empty for baselines.
	Pace   float64       // Pace of the server that decided; 0 when unknown.
	Age    time.Duration // Age of the report of the pace.

	ask       *poolAsk
	onRelease func(Result) // Set for baselines only.

	mu         sync.Mutex
	homes      []home // Homes that count the slot.
	triedHomes []string
	released   bool
}

// Release gives the slot back; it must be called once.
func (s *Slot) Release(r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	if s.onRelease != nil {
		s.onRelease(r)
		return
	}
	if s.ask.acquisition.client.cache.keepSlot(s, r) {
		return
	}
	for _, h := range s.homes {
		h.reportDone(s, r)
	}
}

// reportTo reports the slot to h, a further home of its pool.
func (s *Slot) reportTo(h home) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released {
		return
	}
	for _, other := range s.homes {
		if other == h {
			return
		}
	}
	if h.reportHeld(s) {
		s.homes = append(s.homes, h)
	}
}

// replaceHome says that the stream to the home l broke: the slot is reported to the
// next home in order.
func (s *Slot) replaceHome(broken *grantStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released {
		return
	}
	remaining := s.homes[:0]
	for _, h := range s.homes {
		if h != home(broken) {
			remaining = append(remaining, h)
		}
	}
	s.homes = remaining
	s.triedHomes = append(s.triedHomes, broken.name)
	for len(s.homes) == 0 {
		name, h := s.ask.acquisition.client.nextHome(s.ask.pool, s.triedHomes)
		if h.reportHeld(s) {
			s.homes = append(s.homes, h)
			return
		}
		s.triedHomes = append(s.triedHomes, name)
	}
}
