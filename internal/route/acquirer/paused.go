package acquirer

import (
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// reasonPaused is the reason of a Refusal while all backend servers want no calls for a
// time that they have stated.
const reasonPaused = "paused"

// PausedRefusal returns the refusal of calls of service while each backend server that
// they may use wants no calls for some time, and nil at any other time. Its RetryAfter
// ends with the first of these times.
func (c *Client) PausedRefusal(service string) *Refusal {
	s := c.RoutingTable.Load().Services[service]
	if s == nil || !c.Withholder.HasStatements() {
		return nil
	}
	now, earliest := time.Now(), time.Duration(0)
	// As in choosePools, calls use other regions only if this one has no server.
	inRegion := slices.ContainsFunc(s.Servers, func(b router.BackendServer) bool { return b.TakesCalls() && b.Region == c.Region })
	for i := range s.Servers {
		b := &s.Servers[i]
		l := withholder.LifetimeOf(b)
		if !b.TakesCalls() || c.Withholder.IsLeaving(l) || inRegion && b.Region != c.Region {
			continue
		}
		wait := c.Withholder.PauseOf(now, l)
		if wait == 0 {
			return nil
		}
		if earliest == 0 || wait < earliest {
			earliest = wait
		}
	}
	if earliest == 0 {
		return nil
	}
	return &Refusal{Reason: reasonPaused, RetryAfter: earliest, Firm: true}
}

// refuseWithheld cancels all asks and returns the refusal of a call that no backend
// server takes.
func (a *acquisition) refuseWithheld() *Refusal {
	a.closeAsks(nil)
	if r := a.client.PausedRefusal(a.request.Service); r != nil {
		return r
	}
	return &Refusal{Reason: allocator.ReasonNone, RetryAfter: time.Second}
}
