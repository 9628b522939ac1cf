package acquirer

import (
	"net/netip"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/route/withholder"
)

// Slot is the right to send one call to the backend server Server, until Release.
type Slot struct {
	Server netip.AddrPort
	// Lifetime is that of the server if the service has several at Server, otherwise zero.
	Lifetime    withholder.Lifetime
	Home        string        // Instance that granted the slot; empty for baselines and kept slots.
	Slowdown    float64       // Slowdown of the server by which the home chose it; 0 when unknown.
	SlowdownAge time.Duration // Age of the slowdown when the slot was granted.
	SendBy      time.Time     // Latest start of the call on a cold server; zero on others.

	ask       *poolAsk     // Ask that led to the slot; nil for baselines.
	onRelease func(Result) // Called by Release instead of reporting to homes; set by baselines only.

	mu         sync.Mutex
	homes      []home   // Homes that count the slot.
	triedHomes []string // Homes whose streams broke while they counted the slot, or that could not be reached.
	released   bool
}

// IsLate reports whether the slot may no longer be used at now. It is then to be given
// back by Abandon.
func (s *Slot) IsLate(now time.Time) bool { return !s.SendBy.IsZero() && now.After(s.SendBy) }

// Release gives the slot back with the result of the call. It must be called once;
// further calls have no effect.
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

// ReportSilent tells the homes that the call has gone without an answer for much longer
// than its route takes. It has no effect after Release.
func (s *Slot) ReportSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released {
		return
	}
	for _, h := range s.homes {
		h.reportSilent(s)
	}
}

// reportTo makes h count the slot too, unless it already does.
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

// replaceHome removes the home whose stream broke from the homes that count the slot.
// If no other home counts the slot, it is reported to the next home in rendezvous
// order.
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
