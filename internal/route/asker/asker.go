package asker

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/mapper"
)

// Need describes the slot that a call asks for.
type Need struct {
	Service  string
	Rank     parser.Rank
	Deadline time.Time
	Avoid    []netip.AddrPort // Backend servers that already refused the call.
}

// Result is what a call says about the backend server when it gives its slot back.
type Result struct {
	Failed  bool // Failed is set when the backend server caused the failure.
	Refused bool // Refused is set on the documented refusal.
	Drain   bool // Drain is set when the backend server asked for no new calls.
	Latency time.Duration
	Busy    int // Calls in flight by the server's own report, -1 when unknown.
}

// Slot is the right to send one call to Server; it is given back by Release.
type Slot struct {
	Server  netip.AddrPort
	release func(Result)
}

// Release gives the slot back; it must be called once.
func (s *Slot) Release(r Result) { s.release(r) }

// Refusal is the error of a call that gets no slot.
type Refusal struct {
	Reason string // One word: full, late, none, gone.
	After  time.Duration
}

// Error returns the reason.
func (r *Refusal) Error() string { return "no slot: " + r.Reason }

// Asker grants slots from local counts of calls in flight.
type Asker struct {
	Map *mapper.Holder

	mu   sync.Mutex
	busy map[netip.AddrPort]int
}

// Acquire returns a slot of the least busy backend server of the service.
func (a *Asker) Acquire(_ context.Context, n Need) (*Slot, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.busy == nil {
		a.busy = make(map[netip.AddrPort]int)
	}
	s := a.Map.Load().Services[n.Service]
	best := -1
	for i := range s.Servers {
		b := &s.Servers[i]
		if b.Leaving || slices.Contains(n.Avoid, b.Address) {
			continue
		}
		if best < 0 || a.busy[b.Address] < a.busy[s.Servers[best].Address] {
			best = i
		}
	}
	if best < 0 {
		return nil, &Refusal{Reason: "none", After: time.Second}
	}
	addr := s.Servers[best].Address
	a.busy[addr]++
	return &Slot{Server: addr, release: func(Result) { a.free(addr) }}, nil
}

func (a *Asker) free(addr netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy[addr]--
}
