package acquirer

import (
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/route/allocator"
)

// isEvacuated reports whether the availability zone of the backend server of s, a slot of
// service, is evacuated. A home that does not know of the order yet grants such slots.
func (c *Client) isEvacuated(service string, s *Slot) bool {
	if s.ask != nil && c.Withholder.IsEvacuated(s.ask.pool.key.Zone) {
		return true
	}
	b := c.RoutingTable.Load().FindServer(service, s.Server)
	return b != nil && c.Withholder.IsEvacuated(b.Zone)
}

// leaveEvacuatedPools withdraws the asks to pools of evacuated zones. If no other ask is
// open, it asks the pools that are left.
func (a *acquisition) leaveEvacuatedPools() {
	evacuated := func(p pool) bool { return a.client.Withholder.IsEvacuated(p.key.Zone) }
	a.otherPools = slices.DeleteFunc(slices.Clone(a.otherPools), evacuated)
	a.mu.Lock()
	var left []*poolAsk
	open := 0
	for _, p := range a.asks {
		switch {
		case p.state > stateQueued && p.state != stateStreamBroken, p == a.accepted: // Acquire examines the accepted slot.
		case evacuated(p.pool):
			if p.state <= stateQueued {
				left = append(left, p)
			}
			p.state, p.refusal = stateRefused, allocator.Reply{Reason: allocator.ReasonNone, RetryAfter: time.Second}
		default:
			open++
		}
	}
	accepted := a.accepted != nil
	a.mu.Unlock()
	for _, p := range left {
		p.home.cancelAsk(p)
	}
	if open == 0 && !accepted {
		a.askNearestPool()
	}
	a.notify()
}
