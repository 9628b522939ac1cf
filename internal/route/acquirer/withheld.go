package acquirer

import (
	"net/netip"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/route/withholder"
)

// withheldServers returns the backend servers of service to which no call may start. A
// withheld process does not count once another one is listed at its address.
func (c *Client) withheldServers(service string) []netip.AddrPort {
	if !c.Withholder.HasStatements() {
		return nil
	}
	table := c.RoutingTable.Load()
	s := table.Services[service]
	if s == nil {
		return nil
	}
	now := time.Now()
	var withheld []netip.AddrPort
	for i := range s.Servers {
		b := &s.Servers[i]
		if c.Withholder.IsWithheld(now, withholder.LifetimeOf(b)) && table.FindServer(service, b.Address) == b {
			withheld = append(withheld, b.Address)
		}
	}
	return withheld
}

// hasUsableServer reports whether a backend server of the service could get the call,
// now or later.
func (a *acquisition) hasUsableServer() bool {
	s := a.client.RoutingTable.Load().Services[a.request.Service]
	if s == nil {
		return false
	}
	now := time.Now()
	for i := range s.Servers {
		b := &s.Servers[i]
		if b.TakesCalls() && !slices.Contains(a.request.Avoid, b.Address) && !a.client.Withholder.IsWithheld(now, withholder.LifetimeOf(b)) {
			return true
		}
	}
	return false
}

// AnnounceLeaving tells the homes with which this instance has streams that l is
// leaving. Streams that are opened later begin with all that is known.
func (c *Client) AnnounceLeaving(l withholder.Lifetime) {
	c.setupOnce.Do(c.setup)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range c.streams {
		g.outbox.Enqueue(encodeLeaving(l))
	}
}

// announceKnownLeaving puts the lifetimes that are known to be leaving at the head of
// a new stream.
func (g *grantStream) announceKnownLeaving() {
	for _, l := range g.client.Withholder.LeavingLifetimes() {
		g.outbox.Enqueue(encodeLeaving(l))
	}
}

// Abandon gives the slot back, instead of Release, if no call was sent.
func (s *Slot) Abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	if s.onRelease != nil {
		s.onRelease(Result{})
	}
	for _, h := range s.homes {
		h.cancelAsk(s.ask)
	}
}
