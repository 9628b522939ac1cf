package runner

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"sardinelever.example/sardinelever/internal/call/deduper"
	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/config/keeper"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/distributor"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/instance/detector"
	"sardinelever.example/sardinelever/internal/instance/limiter"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/operator/meter"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/platform/watcher"
	"sardinelever.example/sardinelever/internal/route/acquirer"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/prober"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// components holds the components of an instance, which newComponents connects.
type components struct {
	settings        *parser.Settings
	retrySettings   atomic.Pointer[parser.Retry]
	platform        *PlatformAdapter // nil means the native formats.
	log             *log.Logger
	incarnation     uint64
	peersAsked      atomic.Bool // Set when the other instances were asked for their bundles.
	metricsRegistry *prometheus.Registry
	metrics         *meter.Metrics

	routingTable   router.TableHolder
	rebuildMu      sync.Mutex // Serializes updates of routingTable, and guards tableBuilder and appliedCollect.
	tableBuilder   router.TableBuilder
	appliedCollect int
	withholder     withholder.Withholder
	coldSchedule   router.ColdSchedule // Guarded by rebuildMu.
	audit          auditor.Trail
	bundleStore    keeper.BundleStore
	pauseDetector  detector.PauseDetector
	resumeGate     detector.ResumeGate // Used with a PlatformAdapter.
	listFollower   reader.ListFollower
	configFollower reader.ConfigFollower
	recordWatcher  watcher.Watcher // Used with a PlatformAdapter instead of listFollower and configFollower.
	connector      connector.Connector
	members        registrar.Registrar
	distributor    distributor.Distributor
	allocator      allocator.Allocator
	limiter        limiter.Limiter
	slotClient     acquirer.Client
	prober         prober.Prober
	deduper        deduper.Deduper
	handler        callHandler
}

// newComponents creates and connects the components of an instance. Every setting
// in s must have a value.
func newComponents(s *parser.Settings, platform *PlatformAdapter, l *log.Logger) *components {
	c := &components{settings: s, platform: platform, log: l, incarnation: uint64(time.Now().UnixNano()), metricsRegistry: prometheus.NewRegistry()}
	c.retrySettings.Store(&s.Retry)
	c.metrics = meter.RegisterMetrics(c.metricsRegistry)
	c.audit.Log = l
	c.bundleStore.Audit = &c.audit
	c.withholder.Audit, c.withholder.Metrics, c.withholder.OnOwnLeaving = &c.audit, c.metrics, c.slotClient.AnnounceLeaving
	c.withholder.Log = l
	meter.RegisterPausedServers(c.metricsRegistry, c.pausedServers)
	meter.RegisterColdServers(c.metricsRegistry, c.allocator.ColdServers, c.allocator.ColdWithheld)
	meter.RegisterEvacuation(c.metricsRegistry, c.evacuatedServers, c.evacuatedCalls)
	c.pauseDetector.OnPause = c.dropStaleData
	c.initLimiter()
	c.initPlatform()
	c.initFleet()
	c.initRouting()
	c.initCallHandler()
	return c
}

func (c *components) initPlatform() {
	if c.platform != nil {
		c.bundleStore.Format = c.platform.Format
		c.recordWatcher = watcher.Watcher{
			Store: c.platform.Store, Decoder: c.platform.Decoder, Name: c.settings.Name, Zone: c.settings.Zone, Region: c.settings.Region,
			HasSeeds: len(c.settings.Seeds) > 0, Bootstrap: c.settings.Bootstrap,
			Fleet: &c.members, StreamOpener: &c.connector, BundleSink: &c.bundleStore, OnChange: c.applyList, Audit: &c.audit, Log: c.log,
		}
		return
	}
	client := &reader.Client{BaseURL: c.settings.Platform}
	c.listFollower = reader.ListFollower{Client: client, IsSilent: c.isSilent, Audit: &c.audit, Log: c.log}
	c.configFollower = reader.ConfigFollower{Client: client, BundleSink: &c.bundleStore, IsReader: c.watchesConfiguration, HeardAnnouncement: c.distributor.HasRecentAnnouncement, Log: c.log}
}

func (c *components) initFleet() {
	s := c.settings
	c.connector = connector.Connector{
		Name: s.Name, Incarnation: c.incarnation, Zone: s.Zone, Region: s.Region, Capacity: float64(s.Capacity), ListenAddr: s.Peers,
		TLS: s.TLS, Plain: s.Plain, Audit: &c.audit, OnPeerLost: c.members.HandleLostSession, WrapListener: c.limitPeers,
		Handlers: map[connector.StreamKind]connector.Handler{
			connector.ControlStream: &c.members,
			connector.GrantStream:   connector.HandlerFunc(c.serveGrantStream),
			connector.CallStream:    connector.HandlerFunc(c.serveForwardedCalls),
			connector.FeedStream:    &c.recordWatcher,
		},
	}
	c.members = registrar.Registrar{
		Name: s.Name, Incarnation: c.incarnation, Zone: s.Zone, Region: s.Region, Capacity: float64(s.Capacity), PeerAddr: s.Peers, Seeds: s.Seeds,
		StreamOpener: &c.connector, Audit: &c.audit, MessageHandlers: []registrar.MessageHandler{&c.distributor, probeResultHandler{c}},
		PauseCheck: c.pauseDetector.CheckPause,
	}
	for _, k := range countedStreamKinds {
		meter.RegisterLinkBytes(c.metricsRegistry, k.String(), func() (in, out uint64) {
			n := c.connector.Stats().BytesByKind[k]
			return n.In, n.Out
		})
	}
	c.distributor = distributor.Distributor{
		BundleSink: &c.bundleStore, CurrentBundle: c.bundleStore.CurrentSections, Fleet: &c.members, StreamOpener: &c.connector, BundleChanged: c.bundleStore.SubscribeChanges(), Audit: &c.audit,
		Sections: distributor.SectionFuncs{ComputeSums: bundler.SectionSums, FindMissing: bundler.MissingSums, AssembleBundle: bundler.AssembleBundle},
	}
}

// countedStreamKinds are the kinds of streams between instances whose bytes are
// counted in the status and the metrics.
var countedStreamKinds = []connector.StreamKind{connector.ControlStream, connector.GrantStream, connector.CallStream, connector.FeedStream}

func (c *components) initRouting() {
	s := c.settings
	c.allocator = allocator.Allocator{
		RoutingTable: &c.routingTable, Audit: &c.audit, Withholder: &c.withholder, Observer: meter.RegisterWaits(c.metricsRegistry),
		ColdLimits: allocator.ColdLimits{Bound: s.Cold, FleetShare: c.fleetShare},
	}
	if c.platform != nil {
		c.allocator.StartProbe, c.allocator.HoldLost = c.startProbe, c.hedges
	}
	c.slotClient = acquirer.Client{
		RoutingTable: &c.routingTable, Name: s.Name, Zone: s.Zone, Region: s.Region,
		Allocator: &c.allocator, Fleet: &c.members, StreamOpener: &c.connector, Policy: slotPolicies[s.Policy], Withholder: &c.withholder,
		NoSlotReuse: c.platform != nil, // A slot kept from an earlier call would be used without a recent load report of its server.
	}
	c.initZones()
	c.prober = prober.Prober{InstanceName: s.Name, CurrentView: c.currentProbeView, IsIdle: c.isServerIdle, MayProbe: c.mayProbe, FindLifetime: c.findLifetime, ReportResult: c.deliverProbeResult, Log: c.log}
}

// slotPolicies maps the values of the setting policy. The empty value means grant.
var slotPolicies = map[string]acquirer.Policy{
	"": acquirer.GrantByHome, "grant": acquirer.GrantByHome, "random": acquirer.Random, "round": acquirer.RoundRobin, "least": acquirer.LeastOutstanding,
}

func (c *components) initCallHandler() {
	c.handler.routingTable, c.handler.slots, c.handler.metrics, c.handler.checkPause = &c.routingTable, &c.slotClient, c.metrics, c.pauseDetector.CheckPause
	c.handler.pausedRefusal = c.slotClient.PausedRefusal
	c.handler.responder.Instance, c.handler.log, c.handler.isConfigCurrent = c.settings.Name, c.log, c.isConfigCurrent
	c.handler.sender.InstanceCount, c.handler.sender.Withholder = c.fleetSize, &c.withholder
	if c.platform != nil {
		c.handler.responder.Dialect, c.handler.sender.Dialect = c.platform.Dialect, c.platform.Dialect
		c.handler.retrier.Limit, c.handler.hedges = c.retryLimit, c.hedges
		c.handler.confirmedAt = c.recordWatcher.PublishedAt
		c.resumeGate = detector.ResumeGate{CheckPause: c.pauseDetector.CheckPause, ConfirmedAt: c.recordWatcher.PublishedAt}
		if c.platform.Evacuates {
			c.handler.sender.AwaitRecords = c.resumeGate.Await
		}
		if !c.settings.Bootstrap { // No order is older than a fleet that starts for the first time.
			c.resumeGate.Hold(time.Now())
		}
		return
	}
	c.handler.confirmedAt = c.configFollower.LastRead
	c.deduper = deduper.Deduper{
		Name: c.settings.Name, PeerAddr: c.settings.Peers, Incarnation: c.incarnation, Fleet: fleetView{c},
		Rules: deduper.Rules{Margin: c.settings.Margin.AsDuration()},
	}
	c.handler.setDeduper(&c.deduper)
}

// backgroundTasks returns the functions that run until the instance stops.
func (c *components) backgroundTasks() []func(context.Context) error {
	common := []func(context.Context) error{
		c.pauseDetector.Run, c.connector.Run, c.members.Run, c.distributor.Run, c.allocator.Run, c.slotClient.Run, c.maintainRoutingTable, c.applyStatements, c.limiter.Run,
	}
	if c.platform != nil {
		return append(common, c.recordWatcher.Run)
	}
	return append(common, c.listFollower.Run, c.configFollower.Run, c.prober.Run, c.deduper.Run)
}

// applyStatements rebuilds the routing table whenever a backend server has stated that
// it is leaving, until ctx is done.
func (c *components) applyStatements(ctx context.Context) error {
	changed, applied := c.withholder.Changed(), uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
		changed = c.withholder.Changed() // A later change is not missed.
		leaving := c.withholder.LeavingCount()
		if leaving == applied {
			continue
		}
		applied = leaving
		c.rebuildRoutingTable()
		c.allocator.ApplyTable()
	}
}

// listCheckInterval is the interval of checks for a new list, and so the longest
// time until a list takes effect.
const listCheckInterval = 50 * time.Millisecond

// maintainRoutingTable rebuilds the routing table whenever the bundle or the list
// changes, until ctx is done. With a PlatformAdapter, applyList handles the changes
// of the list.
func (c *components) maintainRoutingTable(ctx context.Context) error {
	changes := c.bundleStore.SubscribeChanges()
	if c.platform != nil {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-changes:
				c.rebuildRoutingTable()
			}
		}
	}
	t := time.NewTicker(listCheckInterval)
	defer t.Stop()
	var previousList *reader.List
	var previousRead time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
			c.rebuildRoutingTable()
		case <-t.C:
		}
		l, at := c.listFollower.List(), c.listFollower.LastRead()
		if l == nil || l == previousList && at.Equal(previousRead) {
			continue
		}
		c.members.SetList(l, at)
		if l != previousList {
			c.rebuildRoutingTable()
		}
		previousList, previousRead = l, at
	}
}

// currentList returns the list in use, nil before the first one.
func (c *components) currentList() *reader.List {
	if c.platform != nil {
		return c.recordWatcher.List()
	}
	return c.listFollower.List()
}

// applyList rebuilds the routing table after recordWatcher has changed the list.
func (c *components) applyList(*reader.List) { c.rebuildRoutingTable() }

// rebuildRoutingTable builds the routing table from the current bundle and list,
// and closes idle connections to backend servers that it no longer holds.
func (c *components) rebuildRoutingTable() {
	c.rebuildMu.Lock()
	defer c.rebuildMu.Unlock()
	b, _ := c.bundleStore.CurrentBundle()
	table := c.tableBuilder.Build(b, c.currentList())
	c.withholder.MarkLeaving(time.Now(), table)
	c.coldSchedule.Mark(time.Now(), table)
	c.routingTable.Store(table)
	c.withholder.SetEvacuatedZones(time.Now(), table.EvacuatedZones) // After Store, so that those who wait see the new pools.
	servers := make(map[netip.AddrPort]bool)
	for _, s := range table.Services {
		for i := range s.Servers {
			servers[s.Servers[i].Address] = true
		}
	}
	c.applyCollect(len(servers))
	c.handler.sender.RetainServers(servers)
}

// awaitConfiguration returns when there are a list and a bundle and the other
// instances were asked for their bundles, or when ctx is done. With a
// PlatformAdapter, the other instances are not asked.
func (c *components) awaitConfiguration(ctx context.Context) {
	if c.platform != nil {
		pollUntil(ctx, func() bool { b, _ := c.bundleStore.CurrentBundle(); return b != nil && c.recordWatcher.List() != nil })
		c.rebuildRoutingTable()
		return
	}
	if !pollUntil(ctx, func() bool { return c.listFollower.List() != nil }) {
		return
	}
	c.members.SetList(c.listFollower.List(), c.listFollower.LastRead())
	c.distributor.PullFromPeers(ctx, peerConfigTimeout)
	pollUntil(ctx, func() bool { b, _ := c.bundleStore.CurrentBundle(); return b != nil })
	c.rebuildRoutingTable()
	c.peersAsked.Store(true)
}

// maxConfirmationAge is the time within which a new configuration has to be in force. An
// instance whose configuration was confirmed longer ago may lack it.
const maxConfirmationAge = 2 * time.Second

// isConfigCurrent reports whether the routing table was built from each configuration
// that has to be in force.
func (c *components) isConfigCurrent() bool {
	if c.platform == nil {
		return c.peersAsked.Load()
	}
	return !c.recordWatcher.HasRefusedBundle() && detector.Elapsed(c.recordWatcher.PublishedAt(), time.Now()) < maxConfirmationAge
}

// pollUntil waits until done returns true. It returns false when ctx ends first.
func pollUntil(ctx context.Context, done func() bool) bool {
	t := time.NewTicker(listCheckInterval / 5)
	defer t.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	return true
}
