package runner

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/retrier"
	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/hasher"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/flow/recoverer"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/prober"
	"sardinelever.example/sardinelever/internal/route/tracker"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// configWatchersPerZone is the number of instances of an availability zone that
// read the configuration service; the others receive its bundles from them.
const configWatchersPerZone = 2

// watchesConfiguration reports whether this instance reads the configuration
// service. It does when it is among the first instances of its availability zone in
// rendezvous hashing order, or when the list has no instance in this zone.
func (c *components) watchesConfiguration() bool {
	var names []string
	for _, m := range c.members.Members() {
		if m.Listed && m.Zone == c.settings.Zone && m.State != registrar.Leaving && m.State != registrar.Gone {
			names = append(names, m.Name)
		}
	}
	order := hasher.RankNames("configuration", names)
	return len(order) == 0 || slices.Contains(order[:min(configWatchersPerZone, len(order))], c.settings.Name)
}

// isSilent reports whether the instance of e, which is missing from a new list, is
// also suspected, gone or unknown according to the messages between instances. It is
// false for backend servers.
func (c *components) isSilent(e reader.Entry) bool {
	if e.Service != "" {
		return false
	}
	for _, m := range c.members.Members() {
		if m.Name == e.Name {
			return m.State == registrar.Suspect || m.State == registrar.Gone
		}
	}
	return true
}

// fleetSize returns the number of instances that share the limits of the fleet.
func (c *components) fleetSize() int {
	if c.platform == nil {
		return max(len(c.members.AcceptedList().Names), 1)
	}
	n := 0
	for _, m := range c.members.Members() {
		if m.State == registrar.Alive {
			n++
		}
	}
	return max(n, minUnlistedFleetSize)
}

// minUnlistedFleetSize is the smallest size that is assumed for a fleet without a
// platform list. It keeps an instance that knows no other from using more than its
// share of the common limits.
const minUnlistedFleetSize = 8

// heardWithin is the time within which an instance that can be reached sends a heartbeat:
// their period of 1 s with a margin for slow processes.
const heardWithin = 1600 * time.Millisecond

// fleetShare returns the share of the instances that this one hears.
func (c *components) fleetShare() float64 { return c.members.HeardShare(heardWithin) }

// retryBudgetFraction is the part of the common retry budget that the known
// instances use; the rest is for instances that are not known yet.
const retryBudgetFraction = 0.9

// Retry budget of one instance that the settings do not state.
const (
	defaultRetryRatio = 0.20
	defaultRetrySlack = 10.0
)

// retryLimit returns this instance's share of the common retry budget.
func (c *components) retryLimit() retrier.Limit {
	r := c.retrySettings.Load()
	l := retrier.Limit{Share: retryBudgetFraction * r.Ratio.Or(defaultRetryRatio), Capacity: defaultRetrySlack, Hedge: c.hedgeShare()}
	if slack, ok := r.Slack.Get(); ok {
		l.Capacity = retryBudgetFraction * slack / float64(c.fleetSize())
	}
	return l
}

// hedgeShare returns the share of the retry budget that hedges may use.
func (c *components) hedgeShare() float64 {
	if !c.usesBulkSettings() {
		return 0
	}
	return c.retrySettings.Load().Hedge
}

// hedges reports whether calls are hedged.
func (c *components) hedges() bool { return c.hedgeShare() > 0 }

// onDemandProbeTimeout limits a probe for whose result a request for a slot may
// wait. It is many times the usual duration of a probe and shorter than the
// retransmission timeout of TCP.
const onDemandProbeTimeout = 150 * time.Millisecond

// withheldProbeInterval is the time between checks whether a backend server that wants
// no calls may be probed. It is the shortest backoff after a failed probe.
const withheldProbeInterval = 200 * time.Millisecond

// onDemandProbe is a probe of a backend server that the allocator of this instance
// has requested.
type onDemandProbe struct {
	*components
	service  string
	server   netip.AddrPort
	lifetime withholder.Lifetime
}

// startProbe starts a probe in the background; it is the StartProbe function of
// allocator.Allocator.
func (c *components) startProbe(service string, server netip.AddrPort, lifetime withholder.Lifetime) {
	go onDemandProbe{c, service, server, lifetime}.run()
}

func (o onDemandProbe) run() {
	defer recoverer.Catch("probe", nil)
	table := o.routingTable.Load()
	service, server := table.Services[o.service], table.FindProcess(o.service, o.lifetime.Name, o.lifetime.ProcessStart)
	if service == nil || server == nil {
		return
	}
	if o.withholder.IsEvacuated(server.Zone) {
		o.allocator.RecordProbe(o.service, o.server, tracker.ProbeResult{Unsent: true})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), onDemandProbeTimeout)
	defer cancel()
	start := time.Now()
	signals, err := o.handler.sender.ProbeServer(ctx, o.server, o.lifetime, service.Probe.Path, service.Connections)
	if errors.Is(err, sender.ErrWithheld) {
		time.Sleep(withheldProbeInterval) // The allocator requests the next probe at once.
		o.allocator.RecordProbe(o.service, o.server, tracker.ProbeResult{Unsent: true})
		return
	}
	result := tracker.Result{Failed: err != nil, ReportedCalls: -1, Latency: time.Since(start)}
	if err == nil {
		result.ReportedCalls, result.Slowdown = signals.ReportedCalls(), signals.Slowdown
	}
	o.allocator.RecordProbe(o.service, o.server, tracker.ProbeResult{
		Result: result, Age: time.Since(start) / 2, ColdStated: signals.ColdStated, Cold: signals.Cold, ServerName: signals.ServerName,
	})
}

// serveGrantStream serves the slot requests of another instance.
func (c *components) serveGrantStream(from connector.Hello, conn net.Conn) {
	c.allocator.ServeStream(from.Name, conn)
}

// serveForwardedCalls serves the calls that another instance forwards.
func (c *components) serveForwardedCalls(_ connector.Hello, conn net.Conn) { c.deduper.ServeConn(conn) }

// dropStaleData discards the data about other instances and backend servers that
// became outdated during a pause of the process.
func (c *components) dropStaleData(pause time.Duration) {
	c.resumeGate.RecordPause(time.Now(), pause)
	c.audit.RecordChange(auditor.Change{
		Component: "instance", Subject: c.settings.Name, Cause: "process was paused for " + pause.String(), Before: "figures in use", After: "figures dropped",
	})
	c.members.Resume()
	c.allocator.ResetStale()
}

// currentProbeView returns the backend servers to probe and the instances that share
// the probes.
func (c *components) currentProbeView() prober.View {
	b, _ := c.bundleStore.CurrentBundle()
	return prober.NewView(c.currentList(), b)
}

// maxExchangeAge is the largest age of an exchange with a backend server that makes a
// probe of it unnecessary.
const maxExchangeAge = time.Second

// isServerIdle reports whether a probe of server is allowed and this instance has had no
// recent exchange with it.
func (c *components) isServerIdle(service string, server netip.AddrPort) bool {
	if c.withholder.IsWithheld(time.Now(), c.findLifetime(service, server)) {
		return false
	}
	return !c.handler.sender.HasRecentExchange(server, maxExchangeAge)
}

// findLifetime returns the lifetime of the backend server of service at addr, or the
// zero value if none is listed there.
func (c *components) findLifetime(service string, addr netip.AddrPort) withholder.Lifetime {
	b := c.routingTable.Load().FindServer(service, addr)
	if b == nil {
		return withholder.Lifetime{}
	}
	return withholder.LifetimeOf(b)
}

// deliverProbeResult gives a probe result to the allocator of this instance and to
// the home of the backend server's pool.
func (c *components) deliverProbeResult(result prober.Result) {
	s := c.routingTable.Load().Services[result.Service]
	if s == nil {
		return
	}
	c.allocator.RecordProbe(result.Service, result.Server, trackerResult(result))
	if result.InvalidPause != "" {
		c.withholder.RecordInvalidPause(time.Now(), result.Lifetime, result.InvalidPause)
	}
	c.withholder.RecordPause(time.Now(), result.Lifetime, result.Pause, withholder.FromProbe)
	if result.Leaving {
		c.withholder.RecordLeaving(time.Now(), result.Lifetime, withholder.FromProbe)
	}
	for i := range s.Servers {
		if s.Servers[i].Address == result.Server {
			k := allocator.PoolKeyOf(s, &s.Servers[i])
			c.sendProbeResult(k, s.Servers[i].Region, result)
			return
		}
	}
}

func trackerResult(result prober.Result) tracker.ProbeResult {
	return tracker.ProbeResult{
		Result: tracker.Result{Failed: result.Failed, Drain: result.Drain, Latency: result.Latency, ReportedCalls: result.ReportedCalls},
		Age:    result.Age,
	}
}

// probeDeliveryTimeout limits the delivery of a probe result. The result of the next
// probe replaces one that was not delivered.
const probeDeliveryTimeout = time.Second

// sendProbeResult sends a probe result to the home of the pool with the given key,
// unless this instance is the home.
func (c *components) sendProbeResult(key allocator.PoolKey, region string, result prober.Result) {
	members := c.members.UsableMembers(key.Zone, region)
	names := make([]string, len(members))
	for i := range members {
		names[i] = members[i].Name
	}
	home := hasher.TopName(key.String(), names)
	i := slices.Index(names, home)
	if i < 0 || home == c.settings.Name {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeDeliveryTimeout)
	defer cancel()
	conn, err := c.connector.OpenStream(ctx, members[i].PeerAddr, connector.ControlStream)
	if err != nil {
		return // The next probe updates the home.
	}
	defer func() { _ = conn.Close() }()
	server, err := result.Server.MarshalBinary()
	if err != nil {
		return
	}
	figure := &messenger.Figure{
		Service: result.Service, Server: server, Age: result.Age.Nanoseconds(), Latency: result.Latency.Nanoseconds(),
		Busy: int32(result.ReportedCalls), Failed: result.Failed, Drain: result.Drain,
	}
	if result.Leaving {
		figure.Leaving = &messenger.Leaving{Server: result.Lifetime.Name, Born: result.Lifetime.ProcessStart}
	}
	_ = messenger.WriteMessage(conn, &messenger.Control{Kind: &messenger.Control_Figures{Figures: &messenger.Figures{Figures: []*messenger.Figure{figure}}}})
}

// probeResultHandler receives the probe results that other instances send to this
// instance as the home of a pool; it implements registrar.MessageHandler.
type probeResultHandler struct{ *components }

// HandleMessage records the probe results of a message of kind Figures.
func (r probeResultHandler) HandleMessage(from connector.Hello, m *messenger.Control, _ func(*messenger.Control) error) {
	for _, f := range m.GetFigures().GetFigures() {
		var server netip.AddrPort
		if err := server.UnmarshalBinary(f.Server); err != nil {
			continue
		}
		if l := f.Leaving; l != nil {
			r.withholder.RecordLeaving(time.Now(), withholder.Lifetime{Name: l.Server, ProcessStart: l.Born}, withholder.FromInstance(from.Name))
		}
		r.allocator.RecordProbe(f.Service, server, tracker.ProbeResult{
			Result: tracker.Result{Failed: f.Failed, Drain: f.Drain, Latency: time.Duration(f.Latency), ReportedCalls: int(f.Busy)},
			Age:    max(time.Duration(f.Age), 0),
		})
	}
}

// fleetView gives the deduper access to the other instances; it implements
// deduper.Fleet.
type fleetView struct{ *components }

// Place returns the place of the idempotency key, the time since which all accepted
// reads of the list gave this place, and the time of the last of these reads.
func (f fleetView) Place(key string) (name string, since, read time.Time) {
	r := f.members.AcceptedList()
	name, since = r.Place(key)
	return name, since, r.LastRead
}

// PeerAddr returns the address at which an instance accepts streams of other
// instances.
func (f fleetView) PeerAddr(name string) (netip.AddrPort, bool) {
	for _, m := range f.members.Members() {
		if m.Name == name {
			return m.PeerAddr, true
		}
	}
	return netip.AddrPort{}, false
}

// OpenStream opens a stream to another instance.
func (f fleetView) OpenStream(ctx context.Context, peer netip.AddrPort, k connector.StreamKind) (net.Conn, error) {
	return f.connector.OpenStream(ctx, peer, k)
}
