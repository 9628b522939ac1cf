package registrar

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

// Links are the sessions to other instances; *linker.Linker implements them.
type Links interface {
	Open(ctx context.Context, peer netip.AddrPort, k linker.Kind) (net.Conn, error)
	Redial(ctx context.Context, peer netip.AddrPort) (linker.Hello, error)
}

// Receiver takes control messages from other instances, heartbeats included,
// and ignores kinds that are not its own. Reply sends an answer on the stream
// of the message.
type Receiver interface {
	Receive(from linker.Hello, m *messenger.Control, reply func(*messenger.Control) error)
}

// Registrar keeps the membership of the fleet. It handles the linker's streams
// of kind Control. Its fields are set before any method is called.
type Registrar struct {
	Name        string
	Incarnation uint64 // Start of this process, nanoseconds since 1970.
	Zone        string
	Region      string
	Peer        netip.AddrPort   // Own listener for other instances.
	Seeds       []netip.AddrPort // Instances to ask for the members; none means that the platform lists them.
	Links       Links
	Audit       *auditor.Auditor
	Receivers   []Receiver
	OnChange    []func() // Called after a change of the members; must not block.
	Check       func()   // Called before each step of Run; calls Resume when the process was paused. May be nil.

	Limits  Limits
	Period  time.Duration    // Of heartbeats; 0 means 1s.
	Recheck time.Duration    // Mean time between dials of one random silent member; 0 means 5s.
	Clock   func() time.Time // nil means time.Now.

	initOnce   sync.Once
	sendNow    chan struct{} // Asks for a heartbeat at once.
	newsQueued chan struct{} // Says that there is news for gossip.

	mu               sync.Mutex
	table            Table
	sequence         uint64
	version          *messenger.Version
	ready            bool
	leaving          bool
	publishedChanges uint64 // table.changes of the last snapshot.
	dialing          map[string]bool
	senders          map[string]*sender
	tasks            sync.WaitGroup

	published atomic.Pointer[publishedMembers]
	history   atomic.Pointer[Roster]
}

func (r *Registrar) init() {
	setDefault(&r.Period, time.Second)
	setDefault(&r.Recheck, 5*time.Second)
	if r.Clock == nil {
		r.Clock = time.Now
	}
	r.sendNow, r.newsQueued = make(chan struct{}, 1), make(chan struct{}, 1)
	r.dialing = make(map[string]bool)
	r.senders = make(map[string]*sender)
	r.table.Limits = r.Limits
	r.table.Note = r.Audit.Note
	r.table.Self = Member{Name: r.Name, Zone: r.Zone, Region: r.Region, Peer: r.Peer, Incarnation: r.Incarnation}
	r.history.Store(new(Roster))
	r.publishMembers(r.Clock())
}

// updateTable runs f on the table and publishes the result.
func (r *Registrar) updateTable(f func(t *Table, now time.Time)) {
	r.initOnce.Do(r.init)
	r.mu.Lock()
	now := r.Clock()
	hadNews := r.table.Fresh()
	f(&r.table, now)
	if !hadNews && r.table.Fresh() {
		signal(r.newsQueued)
	}
	changed := r.table.visibleChanges != r.publishedChanges
	if changed {
		r.publishMembers(now)
	}
	r.mu.Unlock()
	if changed {
		for _, f := range r.OnChange {
			f()
		}
	}
}

// publishMembers publishes the members. The caller holds r.mu.
func (r *Registrar) publishMembers(now time.Time) {
	v := &publishedMembers{members: r.table.Members(now), aliveByZone: make(map[zoneKey][]Member)}
	for _, m := range v.members {
		if m.State == Alive {
			for _, key := range []zoneKey{{m.Region, m.Zone}, {m.Region, ""}} {
				v.aliveByZone[key] = append(v.aliveByZone[key], m)
			}
		}
	}
	r.published.Store(v)
	r.publishedChanges = r.table.visibleChanges
}

// publishedMembers is what a Registrar publishes of its table.
type publishedMembers struct {
	members     []Member
	aliveByZone map[zoneKey][]Member // Alive members; of the whole region under an empty zone.
}

type zoneKey struct{ region, zone string }

// usableIn returns the members of p that were reached lately.
func (p *publishedMembers) usableIn(key zoneKey, now time.Time) []Member {
	alive := p.aliveByZone[key]
	avoided := func(m Member) bool { return now.Before(m.Avoid) }
	if !slices.ContainsFunc(alive, avoided) {
		return alive
	}
	return slices.DeleteFunc(slices.Clone(alive), avoided)
}

// Members returns everything known, sorted by name. The caller must not change
// it.
func (r *Registrar) Members() []Member {
	r.initOnce.Do(r.init)
	return r.published.Load().members
}

// Believed returns the believed list.
func (r *Registrar) Believed() Roster {
	r.initOnce.Do(r.init)
	return *r.history.Load()
}

// Usable returns the members of a zone that may act as home, this instance
// included, sorted by name. If the zone has none or is empty, it returns those
// of the whole region. The caller must not change it.
func (r *Registrar) Usable(zone, region string) []Member {
	r.initOnce.Do(r.init)
	v, now := r.published.Load(), r.Clock()
	if out := v.usableIn(zoneKey{region, zone}, now); len(out) > 0 {
		return out
	}
	return v.usableIn(zoneKey{region, ""}, now)
}

// Failed reports that a dial or a session to the member named name failed. It is
// not used as home for Limits.Avoid.
func (r *Registrar) Failed(name string) {
	for _, m := range r.Members() {
		if m.Name == name {
			r.Lost(m.Peer, nil)
		}
	}
}

// Lost is Failed for the instance at an address; it fits linker.Linker.Lost.
func (r *Registrar) Lost(peer netip.AddrPort, _ error) {
	r.updateTable(func(t *Table, now time.Time) { t.Fail(now, peer) })
}

// SetSeeds replaces the seeds.
func (r *Registrar) SetSeeds(seeds []netip.AddrPort) {
	r.initOnce.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Seeds = slices.Clone(seeds)
}

// SetReady sets whether heartbeats say that this instance is ready.
func (r *Registrar) SetReady(ready bool) { r.announceState(func() { r.ready = ready }) }

// Leave makes heartbeats say that this instance is leaving.
func (r *Registrar) Leave() { r.announceState(func() { r.leaving = true }) }

// SetVersion sets the configuration version that heartbeats carry.
func (r *Registrar) SetVersion(v *messenger.Version) {
	r.initOnce.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = v
}

// announceState changes what heartbeats say and sends one at once.
func (r *Registrar) announceState(f func()) {
	r.updateTable(func(t *Table, now time.Time) {
		f()
		t.Announce(now, r.ready, r.leaving)
	})
	signal(r.sendNow)
}

// Resume drops what a pause of this process made stale and sends a heartbeat at
// once.
func (r *Registrar) Resume() {
	r.updateTable((*Table).Resume)
	signal(r.sendNow)
}

// signal sends on c unless an earlier signal still waits there.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetList takes the believed list of the platform and the time of the last read
// that gave its entry instances. The members follow each list; the roster only
// follows lists with a new read time, because a list that holds lost entries is
// not what the platform says, and not lists without any instance before the
// first one that has some.
func (r *Registrar) SetList(list *reader.List, readTime time.Time) {
	readTime = readTime.Round(0)
	var members []Member
	var names []string
	seen := make(map[string]bool)
	for _, e := range list.Entries {
		if e.Service != "" || seen[e.Name] {
			continue
		}
		seen[e.Name] = true
		m := Member{Name: e.Name, Zone: e.Zone, Region: e.Region, Peer: e.Peer}
		if e.Leaving {
			m.State = Leaving
		} else {
			names = append(names, e.Name)
		}
		members = append(members, m)
	}
	slices.Sort(names)
	r.updateTable(func(t *Table, now time.Time) {
		if history := r.history.Load(); !readTime.Equal(history.Read) && (len(members) > 0 || !history.Read.IsZero()) {
			next := history.afterRead(readTime, names)
			r.history.Store(&next)
		}
		t.Apply(now, members)
	})
}
