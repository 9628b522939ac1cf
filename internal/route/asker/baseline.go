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
	mu          sync.Mutex
	inFlight    map[netip.AddrPort]int
	roundRobins map[string]*picker.Robin[netip.AddrPort]
}

func (b *baseline) acquireSlot(c *Asker, req Need) (*Slot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight == nil {
		b.inFlight = make(map[netip.AddrPort]int)
		b.roundRobins = make(map[string]*picker.Robin[netip.AddrPort])
	}
	var candidates []picker.Candidate[netip.AddrPort]
	if s := c.Map.Load().Services[req.Service]; s != nil {
		for i := range s.Servers {
			addr := s.Servers[i].Address
			if !s.Servers[i].Leaving && !slices.Contains(req.Avoid, addr) {
				candidates = append(candidates, picker.Candidate[netip.AddrPort]{Value: addr, Busy: b.inFlight[addr]})
			}
		}
	}
	i := b.pickerPolicy(c.Policy, req.Service).Pick(candidates)
	if i < 0 {
		return nil, &Refusal{Reason: granter.None, After: time.Second}
	}
	addr := candidates[i].Value
	b.inFlight[addr]++
	return &Slot{Server: addr, onRelease: func(Result) { b.releaseServer(addr) }}, nil
}

func (b *baseline) pickerPolicy(p Policy, service string) picker.Policy[netip.AddrPort] {
	switch p {
	case Random:
		return picker.Random[netip.AddrPort]{}
	case RoundRobin:
		if b.roundRobins[service] == nil {
			b.roundRobins[service] = new(picker.Robin[netip.AddrPort])
		}
		return b.roundRobins[service]
	default:
		return picker.Least[netip.AddrPort]{}
	}
}

func (b *baseline) releaseServer(addr netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[addr]--
}
