package asker

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/route/granter"
	"sardinelever.example/sardinelever/internal/route/picker"
)

// Policy selects how slots are obtained.
type Policy uint8

// The policies. All but Dispatch choose by what this instance alone knows,
// without homes, and exist for measurements.
const (
	Dispatch Policy = iota
	Random
	RoundRobin
	LeastOutstanding
)

// baseline chooses servers by local counts of calls in flight.
type baseline struct {
	mu     sync.Mutex
	busy   map[netip.AddrPort]int
	robins map[string]*picker.Robin[netip.AddrPort]
}

func (b *baseline) acquire(a *Asker, n Need) (*Slot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy == nil {
		b.busy = make(map[netip.AddrPort]int)
		b.robins = make(map[string]*picker.Robin[netip.AddrPort])
	}
	var all []picker.Candidate[netip.AddrPort]
	if s := a.Map.Load().Services[n.Service]; s != nil {
		for i := range s.Servers {
			addr := s.Servers[i].Address
			if !s.Servers[i].Leaving && !slices.Contains(n.Avoid, addr) {
				all = append(all, picker.Candidate[netip.AddrPort]{Value: addr, Busy: b.busy[addr]})
			}
		}
	}
	i := b.policy(a.Policy, n.Service).Pick(all)
	if i < 0 {
		return nil, &Refusal{Reason: granter.None, After: time.Second}
	}
	addr := all[i].Value
	b.busy[addr]++
	return &Slot{Server: addr, free: func(Result) { b.release(addr) }}, nil
}

func (b *baseline) policy(p Policy, service string) picker.Policy[netip.AddrPort] {
	switch p {
	case Random:
		return picker.Random[netip.AddrPort]{}
	case RoundRobin:
		if b.robins[service] == nil {
			b.robins[service] = new(picker.Robin[netip.AddrPort])
		}
		return b.robins[service]
	default:
		return picker.Least[netip.AddrPort]{}
	}
}

func (b *baseline) release(addr netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy[addr]--
}
