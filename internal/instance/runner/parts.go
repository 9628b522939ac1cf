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
	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/fleet/spreader"
	"sardinelever.example/sardinelever/internal/instance/detector"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/operator/meter"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/platform/watcher"
	"sardinelever.example/sardinelever/internal/route/asker"
	"sardinelever.example/sardinelever/internal/route/granter"
	"sardinelever.example/sardinelever/internal/route/mapper"
	"sardinelever.example/sardinelever/internal/route/prober"
)

// parts are the parts of an instance; build sets how they are joined.
type parts struct {
	settings    *parser.Settings
	retry       atomic.Pointer[parser.Retry]
	platform    *Platform // nil means the product's own formats.
	log         *log.Logger
	incarnation uint64
	registry    *prometheus.Registry
	meter       *meter.Meter

	maps     mapper.TableHolder
	mapping  sync.Mutex // Serializes changes of maps.
	audit    auditor.Auditor
	keeper   keeper.BundleStore
	detector detector.Detector
	lists    reader.ListFollower
	configs  reader.ConfigFollower
	records  watcher.Watcher // Used with a Platform, in place of lists and configs.
	linker   linker.Linker
	members  registrar.Registrar
	spreader spreader.Spreader
	granter  granter.Granter
	asker    asker.Client
	prober   prober.Prober
	deduper  deduper.Deduper
	pipe     pipe
}

// build joins the parts of an instance with settings s, in which every key has a value.
func build(s *parser.Settings, platform *Platform, l *log.Logger) *parts {
	p := &parts{settings: s, platform: platform, log: l, incarnation: uint64(time.Now().UnixNano()), registry: prometheus.NewRegistry()}
	p.retry.Store(&s.Retry)
	p.meter = meter.Register(p.registry)
	p.audit.Log = l
	p.keeper.Audit = &p.audit
	p.detector.Paused = p.resume
	p.buildPlatform()
	p.buildFleet()
	p.buildRoute()
	p.buildCall()
	return p
}

func (p *parts) buildPlatform() {
	if p.platform != nil {
		p.records = watcher.Watcher{
			Store: p.platform.Store, Decoder: p.platform.Decoder, Name: p.settings.Name, Region: p.settings.Region,
			Fleet: &p.members, Links: &p.linker, Sink: &p.keeper, OnChange: p.relist, Audit: &p.audit, Log: p.log,
		}
		return
	}
	c := &reader.Client{BaseURL: p.settings.Platform}
	p.lists = reader.ListFollower{Client: c, IsSilent: p.silent, Audit: &p.audit, Log: p.log}
	p.configs = reader.ConfigFollower{Client: c, Sink: &p.keeper, IsReader: p.watches, HeardAnnouncement: p.spreader.HasRecentAnnouncement, Log: p.log}
}

func (p *parts) buildFleet() {
	s := p.settings
	p.linker = linker.Linker{
		Name: s.Name, Incarnation: p.incarnation, Zone: s.Zone, Region: s.Region, ListenAddr: s.Peers,
		TLS: s.TLS, Plain: s.Plain, Audit: &p.audit, OnPeerLost: p.members.HandleLostSession,
		Handlers: map[linker.StreamKind]linker.Handler{
			linker.ControlStream: &p.members,
			linker.GrantStream:   linker.HandlerFunc(p.serveGrants),
			linker.CallStream:    linker.HandlerFunc(p.serveCalls),
			linker.FeedStream:    &p.records,
		},
	}
	p.members = registrar.Registrar{
		Name: s.Name, Incarnation: p.incarnation, Zone: s.Zone, Region: s.Region, Peer: s.Peers, Seeds: s.Seeds,
		Links: &p.linker, Audit: &p.audit, Receivers: []registrar.Receiver{&p.spreader, figures{p}},
		PauseCheck: p.detector.Check,
	}
	for _, k := range kinds {
		meter.Link(p.registry, k.String(), func() (in, out uint64) {
			n := p.linker.Stats().BytesByKind[k]
			return n.In, n.Out
		})
	}
	p.spreader = spreader.Spreader{
		Keeper: &p.keeper, CurrentBundle: p.keeper.CurrentSections, Fleet: &p.members, StreamOpener: &p.linker, BundleChanged: p.keeper.SubscribeChanges(), Audit: &p.audit,
		Sections: spreader.SectionFuncs{ComputeSums: bundler.SectionSums, FindMissing: bundler.MissingSums, AssembleBundle: bundler.AssembleBundle},
	}
}

var kinds = []linker.StreamKind{linker.ControlStream, linker.GrantStream, linker.CallStream}

func (p *parts) buildRoute() {
	s := p.settings
	p.granter = granter.Granter{Map: &p.maps, Audit: &p.audit}
	if p.platform != nil {
		p.granter.StartProbe = p.sample
	}
	p.asker = asker.Client{
		Map: &p.maps, Name: s.Name, Zone: s.Zone, Region: s.Region,
		Granter: &p.granter, Fleet: &p.members, Opener: &p.linker, Policy: policies[s.Policy],
		NoSlotReuse: p.platform != nil, // A kept slot is used without a fresh report.
	}
	p.prober = prober.Prober{InstanceName: s.Name, CurrentView: p.probeView, IsIdle: p.idle, ReportResult: p.report, Log: p.log}
}

// policies are the values of the setting policy; the empty one asks homes.
var policies = map[string]asker.Policy{
	"": asker.GrantByHome, "grant": asker.GrantByHome, "random": asker.Random, "round": asker.RoundRobin, "least": asker.LeastOutstanding,
}

func (p *parts) buildCall() {
	p.pipe.maps, p.pipe.asker, p.pipe.meter, p.pipe.check = &p.maps, &p.asker, p.meter, p.detector.Check
	p.pipe.answer.Instance, p.pipe.log = p.settings.Name, p.log
	p.pipe.sender.InstanceCount = p.instances
	if p.platform != nil {
		p.pipe.answer.Dialect, p.pipe.sender.Dialect = p.platform.Dialect, p.platform.Dialect
		p.pipe.retrier.Limit = p.retryLimit
		return
	}
	p.deduper = deduper.Deduper{
		Name: p.settings.Name, Peer: p.settings.Peers, Incarnation: p.incarnation, Fleet: fleet{p},
		Rules: deduper.Rules{Margin: p.settings.Margin.AsDuration()},
	}
	p.pipe.identify(&p.deduper)
}

// duties returns what runs for the whole life of the instance.
func (p *parts) duties() []func(context.Context) error {
	common := []func(context.Context) error{
		p.detector.Run, p.linker.Run, p.members.Run, p.spreader.Run, p.granter.Run, p.asker.Run, p.loop,
	}
	if p.platform != nil {
		return append(common, p.records.Run)
	}
	return append(common, p.lists.Run, p.configs.Run, p.prober.Run, p.deduper.Run)
}

// mapPeriod bounds the time after which a new list takes effect.
const mapPeriod = 50 * time.Millisecond

// loop keeps the map of services and backend servers up to date.
func (p *parts) loop(ctx context.Context) error {
	changes := p.keeper.SubscribeChanges()
	if p.platform != nil {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-changes:
				p.remap()
			}
		}
	}
	t := time.NewTicker(mapPeriod)
	defer t.Stop()
	var list *reader.List
	var read time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
			p.remap()
		case <-t.C:
		}
		l, at := p.lists.List(), p.lists.LastRead()
		if l == nil || l == list && at.Equal(read) {
			continue
		}
		p.members.SetList(l, at)
		if l != list {
			p.remap()
		}
		list, read = l, at
	}
}

// list returns the believed list, nil before the first.
func (p *parts) list() *reader.List {
	if p.platform != nil {
		return p.records.List()
	}
	return p.lists.List()
}

// relist takes in a list of the watched records.
func (p *parts) relist(*reader.List) { p.remap() }

// remap stores the map of the present bundle and list.
func (p *parts) remap() {
	p.mapping.Lock()
	defer p.mapping.Unlock()
	b, _ := p.keeper.CurrentBundle()
	m := mapper.NewRoutingTable(b, p.list())
	p.maps.Store(m)
	servers := make(map[netip.AddrPort]bool)
	for _, s := range m.Services {
		for i := range s.Servers {
			servers[s.Servers[i].Address] = true
		}
	}
	p.pipe.sender.RetainServers(servers)
}

// await returns when there is a bundle and the peers were asked for theirs, or
// ctx is done.
func (p *parts) await(ctx context.Context) {
	if p.platform != nil {
		until(ctx, func() bool { b, _ := p.keeper.CurrentBundle(); return b != nil && p.records.List() != nil })
		p.remap()
		return
	}
	if !until(ctx, func() bool { return p.lists.List() != nil }) {
		return
	}
	p.members.SetList(p.lists.List(), p.lists.LastRead())
	p.spreader.PullFromPeers(ctx, peerWait)
	until(ctx, func() bool { b, _ := p.keeper.CurrentBundle(); return b != nil })
	p.remap()
}

// until waits for done and returns false when ctx ends first.
func until(ctx context.Context, done func() bool) bool {
	t := time.NewTicker(mapPeriod / 5)
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
