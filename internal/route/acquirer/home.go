package acquirer

import (
	"slices"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/hasher"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/route/allocator"
)

// home is the connection of this entry to an instance that grants slots. sendAsk,
// trackSlot and reportHeld return false, and have no effect, when the home can no
// longer be reached.
type home interface {
	sendAsk(p *poolAsk) bool
	cancelAsk(p *poolAsk)    // Withdraws an ask, or gives its slot back without a result.
	trackSlot(s *Slot) bool  // Records on this instance that a slot granted by the home is in use.
	reportHeld(s *Slot) bool // Makes the home count a slot that another home granted.
	reportSilent(s *Slot)    // Reports that the call on s is silent.
	reportDone(s *Slot, r Result)
	// failIfSilent fails the stream to the home if nothing has arrived on it after
	// since, and reports whether it did.
	failIfSilent(since time.Time) bool
	heldSlots(k allocator.PoolKey) []*Slot // Slots of pool k that this instance uses and that the home granted or counts since reportHeld.
}

var (
	_ home = (*localHome)(nil)
	_ home = (*grantStream)(nil)
)

// localHome is the home on this instance. It can always be reached.
type localHome struct {
	allocator *allocator.Allocator

	mu    sync.Mutex
	slots map[uint64]*Slot // Slots in use, by number of the ask.
}

func (l *localHome) sendAsk(p *poolAsk) bool {
	req := &p.acquisition.request
	l.allocator.RequestSlot(p.pool.key, allocator.SlotRequest{ID: p.id(), Rank: req.Rank, Route: req.Route, Extra: p.extra, Deadline: req.Deadline, Target: req.Target, Avoid: req.Avoid, Hedge: req.Hedge})
	return true
}

func (l *localHome) cancelAsk(p *poolAsk) {
	l.mu.Lock()
	delete(l.slots, p.number)
	l.mu.Unlock()
	l.allocator.CancelRequest(p.pool.key, p.id())
}

func (l *localHome) trackSlot(s *Slot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots[s.ask.number] = s
	return true
}

func (l *localHome) reportHeld(s *Slot) bool {
	l.trackSlot(s)
	l.allocator.AddHeldSlot(s.ask.pool.key, s.ask.id(), s.Server, s.ask.acquisition.request.Rank, s.ask.acquisition.request.Deadline)
	return true
}

func (l *localHome) reportSilent(s *Slot) { l.allocator.MarkSilent(s.ask.pool.key, s.ask.id()) }

func (l *localHome) reportDone(s *Slot, r Result) {
	l.mu.Lock()
	delete(l.slots, s.ask.number)
	l.mu.Unlock()
	l.allocator.ReleaseSlot(s.ask.pool.key, s.ask.id(), r)
}

func (l *localHome) failIfSilent(time.Time) bool { return false }

func (l *localHome) heldSlots(k allocator.PoolKey) []*Slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slotsOfPool(l.slots, k)
}

func slotsOfPool(slots map[uint64]*Slot, k allocator.PoolKey) []*Slot {
	var matching []*Slot
	for _, s := range slots {
		if s.ask.pool.key == k {
			matching = append(matching, s)
		}
	}
	return matching
}

// lastHome is the last known home of a pool. region is the region of the pool.
type lastHome struct {
	name   string
	region string
	home   home
}

// nextHome returns the first home of p in rendezvous order that is not in tried, and
// this instance when none is left.
func (c *Client) nextHome(p pool, tried []string) (string, home) {
	name, m := c.homeMember(p, tried)
	if m == nil {
		return name, &c.localHome
	}
	return name, c.stream(*m)
}

// homeMember returns the name and the member of the home that nextHome returns,
// without opening a stream; the member is nil for this instance. Only members in the
// zone of p are considered, or those in its region if there are none in the zone.
func (c *Client) homeMember(p pool, tried []string) (string, *registrar.Member) {
	if c.Fleet == nil || c.StreamOpener == nil {
		return c.Name, nil
	}
	members := c.Fleet.UsableMembers(p.key.Zone, p.region)
	if len(members) == 0 {
		members = c.Fleet.UsableMembers("", p.region)
	}
	names := make([]string, 0, len(members))
	for i := range members {
		if !slices.Contains(tried, members[i].Name) {
			names = append(names, members[i].Name)
		}
	}
	first := hasher.TopName(p.key.String(), names)
	if first == "" || first == c.Name {
		return c.Name, nil
	}
	i := slices.IndexFunc(members, func(m registrar.Member) bool { return m.Name == first })
	return first, &members[i]
}

// stream returns the grant stream to m and opens one if there is none to its present
// address.
func (c *Client) stream(m registrar.Member) *grantStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.streams[m.Name]
	if g != nil && g.peer == m.PeerAddr {
		return g
	}
	g = newGrantStream(c, m)
	g.announceKnownLeaving()
	c.streams[m.Name] = g
	go g.run()
	return g
}

// removeStream removes a broken stream, unless a new one has replaced it.
func (c *Client) removeStream(g *grantStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[g.name] == g {
		delete(c.streams, g.name)
	}
}

// closeStreams makes the writers of all grant streams stop, which closes the streams.
func (c *Client) closeStreams() {
	c.mu.Lock()
	streams := make([]*grantStream, 0, len(c.streams))
	for _, g := range c.streams {
		streams = append(streams, g)
	}
	c.mu.Unlock()
	for _, g := range streams {
		g.outbox.Close()
	}
}

// updateHome records that h is the home of p. If another one was recorded, the slots
// of p in use that it counts are reported to h.
func (c *Client) updateHome(p pool, name string, h home) {
	c.mu.Lock()
	previous, known := c.lastHomes[p.key]
	c.lastHomes[p.key] = lastHome{name, p.region, h}
	c.mu.Unlock()
	if !known || previous.home == h {
		return
	}
	for _, s := range previous.home.heldSlots(p.key) {
		s.reportTo(h)
	}
}

// isCurrentHome reports whether h is the last recorded home of pool k.
func (c *Client) isCurrentHome(k allocator.PoolKey, h home) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastHomes[k].home == h
}

// reportMovedSlots updates the homes of the pools with slots in use, which reports
// the slots of a pool that has moved to its new home.
func (c *Client) reportMovedSlots() {
	c.mu.Lock()
	pools := make([]pool, 0, len(c.lastHomes))
	for k, h := range c.lastHomes {
		if len(h.home.heldSlots(k)) > 0 {
			pools = append(pools, pool{k, h.region})
		}
	}
	c.mu.Unlock()
	for _, p := range pools {
		name, h := c.nextHome(p, nil)
		c.updateHome(p, name, h)
	}
}

// PoolHome is the name of a pool and of the instance that is its home.
type PoolHome struct{ Pool, Home string }

// PoolHomes returns the pools that a call of service may ask and their homes, the pool
// that is asked first at the head. It is nil if the service has no backend servers.
func (c *Client) PoolHomes(service string) []PoolHome {
	first, others, ok := c.poolsOf(service).choosePools()
	if !ok {
		return nil
	}
	var homes []PoolHome
	for _, p := range append([]pool{first}, others...) {
		name, _ := c.homeMember(p, nil)
		homes = append(homes, PoolHome{p.key.String(), name})
	}
	return homes
}
