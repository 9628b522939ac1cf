package asker

import (
	"slices"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/placer"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/route/granter"
)

// home is an instance that grants slots, as seen by this entry. Methods that
// report false did nothing because the home can no longer be reached.
type home interface {
	ask(p *part) bool
	cancel(p *part)
	hold(s *Slot) bool // The granted slot is in use.
	held(s *Slot) bool // The slot was granted by another home.
	done(s *Slot, r Result)
	// silent reports whether nothing was heard from the home since the time,
	// and then gives it up.
	silent(since time.Time) bool
	slotsOf(k granter.Key) []*Slot
}

var (
	_ home = (*local)(nil)
	_ home = (*link)(nil)
)

// local is the home on this instance.
type local struct {
	granter *granter.Granter

	mu    sync.Mutex
	slots map[uint64]*Slot
}

func (l *local) ask(p *part) bool {
	n := &p.ask.need
	l.granter.Ask(p.pool.key, granter.Ask{ID: p.id(), Rank: n.Rank, Route: n.Route, Deadline: n.Deadline, Target: n.Target, Avoid: n.Avoid})
	return true
}

func (l *local) cancel(p *part) { l.granter.Cancel(p.pool.key, p.id()) }

func (l *local) hold(s *Slot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots[s.part.number] = s
	return true
}

func (l *local) held(s *Slot) bool {
	l.hold(s)
	l.granter.Held(s.part.pool.key, s.part.id(), s.Server, s.part.ask.need.Rank, s.part.ask.need.Deadline)
	return true
}

func (l *local) done(s *Slot, r Result) {
	l.mu.Lock()
	delete(l.slots, s.part.number)
	l.mu.Unlock()
	l.granter.Done(s.part.pool.key, s.part.id(), r)
}

func (l *local) silent(time.Time) bool { return false }

func (l *local) slotsOf(k granter.Key) []*Slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return filterSlots(l.slots, k)
}

func filterSlots(all map[uint64]*Slot, k granter.Key) []*Slot {
	var of []*Slot
	for _, s := range all {
		if s.part.pool.key == k {
			of = append(of, s)
		}
	}
	return of
}

// placedHome is the home of a pool by name.
type placedHome struct {
	name   string
	region string
	home   home
}

// next returns the first home of p in rendezvous order that is not in tried; at
// the end this is the own instance.
func (a *Asker) next(p pool, tried []string) (string, home) {
	name, m := a.home(p, tried)
	if m == nil {
		return name, &a.local
	}
	return name, a.link(*m)
}

// home is next without the stream; the member is nil for the own instance.
func (a *Asker) home(p pool, tried []string) (string, *registrar.Member) {
	if a.Fleet == nil || a.Links == nil {
		return a.Name, nil
	}
	members := a.Fleet.Usable(p.key.Zone, p.region)
	if len(members) == 0 {
		members = a.Fleet.Usable("", p.region)
	}
	names := make([]string, 0, len(members))
	for i := range members {
		if !slices.Contains(tried, members[i].Name) {
			names = append(names, members[i].Name)
		}
	}
	first := placer.First(p.key.String(), names)
	if first == "" || first == a.Name {
		return a.Name, nil
	}
	i := slices.IndexFunc(members, func(m registrar.Member) bool { return m.Name == first })
	return first, &members[i]
}

// link returns the grant stream to m and opens it when there is none.
func (a *Asker) link(m registrar.Member) *link {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.links[m.Name]
	if l != nil && l.peer == m.Peer {
		return l
	}
	l = newLink(a, m)
	a.links[m.Name] = l
	go l.run()
	return l
}

// unlink forgets a broken stream.
func (a *Asker) unlink(l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.links[l.name] == l {
		delete(a.links, l.name)
	}
}

func (a *Asker) closeLinks() {
	a.mu.Lock()
	all := make([]*link, 0, len(a.links))
	for _, l := range a.links {
		all = append(all, l)
	}
	a.mu.Unlock()
	for _, l := range all {
		l.out.Close()
	}
}

// placed records that h is the home of p. When it was another one, the slots
// that this entry holds of p are reported to the new home.
func (a *Asker) placed(p pool, name string, h home) {
	a.mu.Lock()
	before, known := a.last[p.key]
	a.last[p.key] = placedHome{name, p.region, h}
	a.mu.Unlock()
	if !known || before.home == h {
		return
	}
	for _, s := range before.home.slotsOf(p.key) {
		s.tell(h)
	}
}

// isHome reports whether h is the home that was last asked for pool k.
func (a *Asker) isHome(k granter.Key, h home) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last[k].home == h
}

// follow reports held slots to the present homes of their pools.
func (a *Asker) follow() {
	a.mu.Lock()
	pools := make([]pool, 0, len(a.last))
	for k, h := range a.last {
		if len(h.home.slotsOf(k)) > 0 {
			pools = append(pools, pool{k, h.region})
		}
	}
	a.mu.Unlock()
	for _, p := range pools {
		name, h := a.next(p, nil)
		a.placed(p, name, h)
	}
}

// Placed is a pool and the home that would be asked for it.
type Placed struct{ Pool, Name string }

// Homes returns the pools of a service in the order in which a call asks them.
func (a *Asker) Homes(service string) []Placed {
	first, others, ok := a.groups(service).candidates()
	if !ok {
		return nil
	}
	var out []Placed
	for _, p := range append([]pool{first}, others...) {
		name, _ := a.home(p, nil)
		out = append(out, Placed{p.key.String(), name})
	}
	return out
}
