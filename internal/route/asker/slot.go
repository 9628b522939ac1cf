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

	part *part
	free func(Result) // Set for baselines only.

	mu       sync.Mutex
	homes    []home // Homes that count the slot.
	tried    []string
	released bool
}

// Release gives the slot back; it must be called once.
func (s *Slot) Release(r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	if s.free != nil {
		s.free(r)
		return
	}
	if s.part.ask.asker.keeper.keep(s, r) {
		return
	}
	for _, h := range s.homes {
		h.done(s, r)
	}
}

// tell reports the slot to h, a further home of its pool.
func (s *Slot) tell(h home) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released {
		return
	}
	for _, o := range s.homes {
		if o == h {
			return
		}
	}
	if h.held(s) {
		s.homes = append(s.homes, h)
	}
}

// lost says that the stream to the home l broke: the slot is reported to the
// next home in order.
func (s *Slot) lost(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released {
		return
	}
	kept := s.homes[:0]
	for _, h := range s.homes {
		if h != home(l) {
			kept = append(kept, h)
		}
	}
	s.homes = kept
	s.tried = append(s.tried, l.name)
	for len(s.homes) == 0 {
		name, h := s.part.ask.asker.next(s.part.pool, s.tried)
		if h.held(s) {
			s.homes = append(s.homes, h)
			return
		}
		s.tried = append(s.tried, name)
	}
}
