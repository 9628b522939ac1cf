package runner

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/call/retrier"
	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/placer"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/route/granter"
	"sardinelever.example/sardinelever/internal/route/prober"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// readers is the number of instances of a zone that watch the configuration service.
const readers = 2

// watches reports whether this instance watches the configuration service: it
// is among the first of its zone in rendezvous order, or the list names no
// instance there.
func (p *parts) watches() bool {
	var names []string
	for _, m := range p.members.Members() {
		if m.Listed && m.Zone == p.settings.Zone && m.State != registrar.Leaving && m.State != registrar.Gone {
			names = append(names, m.Name)
		}
	}
	order := placer.RankNames("configuration", names)
	return len(order) == 0 || slices.Contains(order[:min(readers, len(order))], p.settings.Name)
}

// silent reports whether a lost entry of the list is not heard either.
func (p *parts) silent(e reader.Entry) bool {
	if e.Service != "" {
		return false
	}
	for _, m := range p.members.Members() {
		if m.Name == e.Name {
			return m.State == registrar.Suspect || m.State == registrar.Gone
		}
	}
	return true
}

// instances returns the size of the fleet.
func (p *parts) instances() int {
	if p.platform == nil {
		return max(len(p.members.AcceptedList().Names), 1)
	}
	n := 0
	for _, m := range p.members.Members() {
		if m.State == registrar.Alive {
			n++
		}
	}
	return max(n, leastInstances)
}

// leastInstances is the assumed size of a fleet that is not listed, so that an
// instance that knows no other takes no more than its share of common limits.
const leastInstances = 8

// retryShare is the part of the common retry budget that instances use; the
// rest covers members that are not known yet.
const retryShare = 0.9

// retryLimit returns this instance's part of the retry budget.
func (p *parts) retryLimit() retrier.Limit {
	r := p.retry.Load()
	return retrier.Limit{Share: retryShare * r.Ratio, Capacity: max(retryShare*float64(r.Slack)/float64(p.instances()), 1)}
}

// sampleTimeout bounds a probe for which an ask may wait: many times its usual
// time, and below the time at which lost packets are sent again.
const sampleTimeout = 150 * time.Millisecond

// sampling is a probe of a backend server on behalf of its home.
type sampling struct {
	*parts
	service string
	server  netip.AddrPort
}

func (p *parts) sample(service string, server netip.AddrPort) { go sampling{p, service, server}.run() }

func (s sampling) run() {
	m := s.maps.Load().Services[s.service]
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	start := time.Now()
	signals, err := s.pipe.sender.ProbeServer(ctx, s.server, m.Probe.Path, m.Connections)
	r := tracker.Result{Failed: err != nil, Busy: -1, Latency: time.Since(start)}
	if err == nil {
		r.Busy, r.Pace = signals.CallCount(), signals.Slowdown
	}
	s.granter.RecordProbe(s.service, s.server, tracker.ProbeResult{Result: r, Age: time.Since(start) / 2})
}

func (p *parts) serveGrants(from linker.Hello, conn net.Conn) { p.granter.ServeStream(from.Name, conn) }

func (p *parts) serveCalls(_ linker.Hello, conn net.Conn) { p.deduper.ServeConn(conn) }

// resume drops what a pause of the process made stale.
func (p *parts) resume(gap time.Duration) {
	p.audit.Note(auditor.Change{
		Part: "instance", Subject: p.settings.Name, Cause: "process was paused for " + gap.String(), Before: "figures in use", After: "figures dropped",
	})
	p.members.Resume()
	p.granter.ResetStale()
}

// probeView returns the targets of probes and the instances that share them.
func (p *parts) probeView() prober.View {
	b, _ := p.keeper.CurrentBundle()
	return prober.NewView(p.list(), b)
}

// probeAge is the age of a result that makes a probe needless.
const probeAge = time.Second

// idle reports that this instance has no recent result of a backend server.
func (p *parts) idle(_ string, server netip.AddrPort) bool {
	return !p.pipe.sender.HasRecentExchange(server, probeAge)
}

// report hands a probe result to the home of the backend server's pool.
func (p *parts) report(f prober.Result) {
	s := p.maps.Load().Services[f.Service]
	if s == nil {
		return
	}
	p.granter.RecordProbe(f.Service, f.Server, figure(f))
	for i := range s.Servers {
		if s.Servers[i].Address == f.Server {
			k := granter.PoolKeyOf(s, &s.Servers[i])
			p.tell(k, s.Servers[i].Region, f)
			return
		}
	}
}

func figure(f prober.Result) tracker.ProbeResult {
	return tracker.ProbeResult{
		Result: tracker.Result{Failed: f.Failed, Drain: f.Drain, Latency: f.Latency, Busy: f.Busy},
		Age:    f.Age,
	}
}

// figureTimeout bounds the delivery of one probe result; a later one replaces it.
const figureTimeout = time.Second

// tell sends a probe result to the home of pool k, unless that is this instance.
func (p *parts) tell(k granter.PoolKey, region string, f prober.Result) {
	members := p.members.Usable(k.Zone, region)
	names := make([]string, len(members))
	for i := range members {
		names[i] = members[i].Name
	}
	home := placer.TopName(k.String(), names)
	i := slices.Index(names, home)
	if i < 0 || home == p.settings.Name {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), figureTimeout)
	defer cancel()
	conn, err := p.linker.Open(ctx, members[i].Peer, linker.ControlStream)
	if err != nil {
		return // The home will be told by the next probe.
	}
	defer func() { _ = conn.Close() }()
	server, err := f.Server.MarshalBinary()
	if err != nil {
		return
	}
	_ = messenger.WriteMessage(conn, &messenger.Control{Kind: &messenger.Control_Figures{Figures: &messenger.Figures{
		Figures: []*messenger.Figure{{
			Service: f.Service, Server: server, Age: f.Age.Nanoseconds(), Latency: f.Latency.Nanoseconds(),
			Busy: int32(f.Busy), Failed: f.Failed, Drain: f.Drain,
		}},
	}}})
}

// figures receives the probe results of other instances.
type figures struct{ *parts }

// Receive takes in the results of a message of kind Figures.
func (r figures) Receive(_ linker.Hello, m *messenger.Control, _ func(*messenger.Control) error) {
	for _, f := range m.GetFigures().GetFigures() {
		var server netip.AddrPort
		if err := server.UnmarshalBinary(f.Server); err != nil {
			continue
		}
		r.granter.RecordProbe(f.Service, server, tracker.ProbeResult{
			Result: tracker.Result{Failed: f.Failed, Drain: f.Drain, Latency: time.Duration(f.Latency), Busy: int(f.Busy)},
			Age:    max(time.Duration(f.Age), 0),
		})
	}
}

// fleet is what the rule of identified calls knows of the other instances.
type fleet struct{ *parts }

// Place returns the place of key by the believed list.
func (f fleet) Place(key string) (name string, since, read time.Time) {
	r := f.members.AcceptedList()
	name, since = r.Place(key)
	return name, since, r.LastRead
}

// Peer returns the listener of an instance for other instances.
func (f fleet) Peer(name string) (netip.AddrPort, bool) {
	for _, m := range f.members.Members() {
		if m.Name == name {
			return m.Peer, true
		}
	}
	return netip.AddrPort{}, false
}

// Open opens a stream to another instance.
func (f fleet) Open(ctx context.Context, peer netip.AddrPort, k linker.StreamKind) (net.Conn, error) {
	return f.linker.Open(ctx, peer, k)
}
