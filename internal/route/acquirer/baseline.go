package acquirer

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/picker"
)

// Policy selects how Acquire chooses a backend server.
type Policy uint8

// The policies. GrantByHome requests slots from the homes. The others use only what
// this instance knows, ask no home, and exist as baselines for measurements.
const (
	GrantByHome Policy = iota
	Random
	RoundRobin
	LeastOutstanding
)

// baseline chooses backend servers by a policy that needs no home. It counts only
// the calls of this instance and grants slots without a limit.
type baseline struct {
	mu          sync.Mutex
	inFlight    map[netip.AddrPort]int
	roundRobins map[string]*picker.RoundRobin[netip.AddrPort]
}

// acquireSlot returns a slot at once, or a refusal when the service has no backend
// server for req.
func (b *baseline) acquireSlot(c *Client, req Request) (*Slot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight == nil {
		b.inFlight = make(map[netip.AddrPort]int)
		b.roundRobins = make(map[string]*picker.RoundRobin[netip.AddrPort])
	}
	var candidates []picker.Candidate[netip.AddrPort]
	if s := c.RoutingTable.Load().Services[req.Service]; s != nil {
		for i := range s.Servers {
			addr := s.Servers[i].Address
			if s.Servers[i].TakesCalls() && !slices.Contains(req.Avoid, addr) {
				candidates = append(candidates, picker.Candidate[netip.AddrPort]{Value: addr, InFlight: b.inFlight[addr]})
			}
		}
	}
	i := b.pickerPolicy(c.Policy, req.Service).Pick(candidates)
	if i < 0 {
		return nil, &Refusal{Reason: allocator.ReasonNone, RetryAfter: time.Second}
	}
	addr := candidates[i].Value
	b.inFlight[addr]++
	return &Slot{Server: addr, onRelease: func(Result) { b.releaseServer(addr) }}, nil
}

// pickerPolicy returns the implementation of p; round robin has a state for each
// service. The caller holds b.mu.
func (b *baseline) pickerPolicy(p Policy, service string) picker.Policy[netip.AddrPort] {
	switch p {
	case Random:
		return picker.Random[netip.AddrPort]{}
	case RoundRobin:
		if b.roundRobins[service] == nil {
			b.roundRobins[service] = new(picker.RoundRobin[netip.AddrPort])
		}
		return b.roundRobins[service]
	default:
		return picker.LeastOutstanding[netip.AddrPort]{}
	}
}

func (b *baseline) releaseServer(addr netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[addr]--
}
