package registrar

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

// StreamOpener opens streams to other instances; *connector.Connector implements it.
type StreamOpener interface {
	OpenStream(ctx context.Context, peer netip.AddrPort, k connector.StreamKind) (net.Conn, error)
	Redial(ctx context.Context, peer netip.AddrPort) (connector.Hello, error)
}

// MessageHandler handles control messages from other instances. It gets all
// messages, including heartbeats, and must ignore kinds that it does not handle.
// reply sends an answer on the stream of the message.
type MessageHandler interface {
	HandleMessage(from connector.Hello, m *messenger.Control, reply func(*messenger.Control) error)
}

// Registrar maintains the membership of the fleet over the network. It is the
// connector.Handler of streams of kind connector.ControlStream. Its exported fields
// must be set before any method is called.
type Registrar struct {
	Name            string
	Incarnation     uint64 // Start of this process in nanoseconds since 1970.
	Zone            string
	Region          string
	Capacity        float64          // Processor time relative to other instances; 0 if unknown.
	PeerAddr        netip.AddrPort   // Address at which this instance accepts others.
	Seeds           []netip.AddrPort // Instances to exchange rosters with first; empty if the platform lists the instances.
	StreamOpener    StreamOpener
	Audit           *auditor.Trail
	MessageHandlers []MessageHandler
	OnChange        []func() // Called after the members changed; must not block.
	PauseCheck      func()   // Called in each iteration of Run; calls Resume if the process was paused. May be nil.

	Timeouts        Timeouts
	HeartbeatPeriod time.Duration    // Interval of heartbeats; 0 means 1s.
	RedialInterval  time.Duration    // Mean interval of dials to a random silent member; 0 means 5s.
	Clock           func() time.Time // nil means time.Now.

	initOnce   sync.Once
	sendNow    chan struct{} // Requests an immediate heartbeat.
	newsQueued chan struct{} // Wakes Run when there is unsent news.

	mu               sync.Mutex
	table            Table
	sequence         uint64
	version          *messenger.Version
	ready            bool
	leaving          bool
	publishedChanges uint64             // table.visibleChanges at the last publishMembers.
	dialing          map[string]bool    // Names of the members that are being dialed.
	senders          map[string]*sender // By the name of the neighbour.
	tasks            sync.WaitGroup

	published atomic.Pointer[publishedMembers]
	history   atomic.Pointer[ListHistory]
}

func (r *Registrar) init() {
	setDefault(&r.HeartbeatPeriod, time.Second)
	setDefault(&r.RedialInterval, 5*time.Second)
	if r.Clock == nil {
		r.Clock = time.Now
	}
	r.sendNow, r.newsQueued = make(chan struct{}, 1), make(chan struct{}, 1)
	r.dialing = make(map[string]bool)
	r.senders = make(map[string]*sender)
	r.table.Timeouts = r.Timeouts
	r.table.RecordChange = r.Audit.RecordChange
	r.table.Self = Member{Name: r.Name, Zone: r.Zone, Region: r.Region, PeerAddr: r.PeerAddr, Incarnation: r.Incarnation, Capacity: r.Capacity}
	r.history.Store(new(ListHistory))
	r.publishMembers(r.Clock())
}

// updateTable calls f with the locked table, publishes the members if they have
// changed, and then calls OnChange.
func (r *Registrar) updateTable(f func(t *Table, now time.Time)) {
	r.initOnce.Do(r.init)
	if !r.updateLockedTable(f) {
		return
	}
	for _, f := range r.OnChange {
		f()
	}
}

// updateLockedTable calls f with the locked table and reports whether the members have
// changed.
func (r *Registrar) updateLockedTable(f func(t *Table, now time.Time)) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock()
	hadNews := r.table.HasUnsentNews()
	f(&r.table, now)
	if !hadNews && r.table.HasUnsentNews() {
		signal(r.newsQueued)
	}
	if changed = r.table.visibleChanges != r.publishedChanges; changed {
		r.publishMembers(now)
	}
	return changed
}

// publishMembers copies the members for readers that do not lock r.mu. The caller
// holds r.mu.
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

// publishedMembers is an immutable copy of the members in a table.
type publishedMembers struct {
	members     []Member
	aliveByZone map[zoneKey][]Member // Alive members; the empty zone stands for the whole region.
}

// zoneKey identifies a zone of a region, or the whole region if zone is empty.
type zoneKey struct{ region, zone string }

// usableIn returns the alive members of key that need not be avoided at now.
func (p *publishedMembers) usableIn(key zoneKey, now time.Time) []Member {
	alive := p.aliveByZone[key]
	avoided := func(m Member) bool { return now.Before(m.AvoidUntil) }
	if !slices.ContainsFunc(alive, avoided) {
		return alive
	}
	return slices.DeleteFunc(slices.Clone(alive), avoided)
}

// Members returns all known members, sorted by name. The caller must not modify
// the result.
func (r *Registrar) Members() []Member {
	r.initOnce.Do(r.init)
	return r.published.Load().members
}

// AcceptedList returns the instance names of the last accepted read of the
// platform's list, with their history. ListHistory says which reads are accepted.
func (r *Registrar) AcceptedList() ListHistory {
	r.initOnce.Do(r.init)
	return *r.history.Load()
}

// UsableMembers returns the members of a zone that may act as home, including
// this instance, sorted by name: those that are alive and whose AvoidUntil has
// passed. If there are none or zone is empty, it returns those of the whole
// region. The caller must not modify the result.
func (r *Registrar) UsableMembers(zone, region string) []Member {
	r.initOnce.Do(r.init)
	v, now := r.published.Load(), r.Clock()
	if out := v.usableIn(zoneKey{region, zone}, now); len(out) > 0 {
		return out
	}
	return v.usableIn(zoneKey{region, ""}, now)
}

// ReportFailure records that a dial or session to the member named name failed.
// The member is not used as home for Timeouts.Avoid.
func (r *Registrar) ReportFailure(name string) {
	for _, m := range r.Members() {
		if m.Name == name {
			r.HandleLostSession(m.PeerAddr, nil)
		}
	}
}

// HandleLostSession is ReportFailure for the instance at address peer. Its
// signature is that of connector.Connector.OnPeerLost.
func (r *Registrar) HandleLostSession(peer netip.AddrPort, _ error) {
	r.updateTable(func(t *Table, now time.Time) { t.AvoidPeer(now, peer) })
}

// SetSeeds replaces the seeds.
func (r *Registrar) SetSeeds(seeds []netip.AddrPort) {
	r.initOnce.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Seeds = slices.Clone(seeds)
}

// SetReady sets the readiness of this instance and sends it in a heartbeat at once.
func (r *Registrar) SetReady(ready bool) { r.announceState(func() { r.ready = ready }) }

// Leave marks this instance as leaving and sends a heartbeat at once.
func (r *Registrar) Leave() { r.announceState(func() { r.leaving = true }) }

// SetVersion sets the configuration version that heartbeats carry.
func (r *Registrar) SetVersion(v *messenger.Version) {
	r.initOnce.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = v
}

// announceState calls f, which changes r.ready or r.leaving, and requests an
// immediate heartbeat.
func (r *Registrar) announceState(f func()) {
	r.updateTable(func(t *Table, now time.Time) {
		f()
		t.SetOwnState(now, r.ready, r.leaving)
	})
	signal(r.sendNow)
}

// Resume restarts the timeouts of the table after a pause of this process, drops
// outdated gossip and sends a heartbeat at once.
func (r *Registrar) Resume() {
	r.updateTable((*Table).Resume)
	signal(r.sendNow)
}

// signal sends on c without blocking. A signal that is already pending is enough.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetList applies the accepted list of the platform; readTime is the time of the
// last read that gave its entry instances. Every list updates the members. Only
// a list with a new readTime updates the ListHistory, because a list with an
// earlier one still holds entries that the platform no longer shows. Empty lists
// before the first list with an instance do not update the ListHistory either.
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
		m := Member{Name: e.Name, Zone: e.Zone, Region: e.Region, PeerAddr: e.PeerAddr}
		if e.Leaving {
			m.State = Leaving
		} else {
			names = append(names, e.Name)
		}
		members = append(members, m)
	}
	slices.Sort(names)
	r.updateTable(func(t *Table, now time.Time) {
		if history := r.history.Load(); !readTime.Equal(history.LastRead) && (len(members) > 0 || !history.LastRead.IsZero()) {
			next := history.afterRead(readTime, names)
			r.history.Store(&next)
		}
		t.ApplyList(now, members)
	})
}
