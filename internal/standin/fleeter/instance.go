package fleeter

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/standin/breaker"
)

// Zone and Region are those of all instances of this package.
const (
	Zone   = "z"
	Region = "home"
)

// Instance is a Registrar on a Linker. Start fills the fields of both that are
// not set.
type Instance struct {
	*registrar.Registrar                // Its Name is set before Start.
	Linker               *linker.Linker // nil means a new one without encryption.
	Listen               netip.AddrPort // Zero means any loopback port.
	Gate                 *breaker.Gate  // Between Registrar and Linker; may be nil.
	Period               time.Duration  // Of heartbeats, other times in proportion; 0 means all defaults.
	Also                 []func(ctx context.Context) error

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Start binds a port and runs the instance until Stop.
func (x *Instance) Start() error {
	r := x.Registrar
	if r.Incarnation == 0 {
		r.Incarnation = 1
	}
	r.Zone, r.Region, r.Audit = Zone, Region, &auditor.Auditor{}
	if p := x.Period; p != 0 {
		r.HeartbeatPeriod, r.RedialInterval = p, 5*p
		r.Timeouts = registrar.Timeouts{Silence: 4 * p, Gone: 20 * p, Unlisted: 60 * p, Avoid: p}
	}
	if x.Linker == nil {
		x.Linker = &linker.Linker{Plain: true}
	}
	l := x.Linker
	l.Name, l.Incarnation, l.Zone, l.Region, l.Audit = r.Name, r.Incarnation, Zone, Region, r.Audit
	l.Handlers = map[linker.StreamKind]linker.Handler{linker.ControlStream: r}
	l.OnPeerLost = r.HandleLostSession
	l.ListenAddr = x.Listen
	if !l.ListenAddr.IsValid() {
		l.ListenAddr = netip.MustParseAddrPort("127.0.0.1:0")
	}
	if err := l.Bind(); err != nil {
		return err
	}
	r.Peer, r.Links = l.Addr(), l
	if x.Gate != nil {
		x.Gate.Links = l
		r.Links = x.Gate
	}
	var ctx context.Context
	ctx, x.cancel = context.WithCancel(context.Background())
	for _, run := range append(x.Also, l.Run, r.Run) {
		x.tasks.Add(1)
		go x.run(ctx, run)
	}
	return nil
}

func (x *Instance) run(ctx context.Context, f func(context.Context) error) {
	defer x.tasks.Done()
	_ = f(ctx)
}

// Stop ends the instance without notice to the others.
func (x *Instance) Stop() {
	x.cancel()
	x.tasks.Wait()
}

// Find returns the member named name, or the zero Member.
func (x *Instance) Find(name string) registrar.Member {
	for _, m := range x.Members() {
		if m.Name == name {
			return m
		}
	}
	return registrar.Member{}
}

// Share gives a list of some instances to others; peers replaces the address of
// some names.
func Share(listed, readers []*Instance, peers map[string]netip.AddrPort) {
	now := time.Now()
	l := &reader.List{Time: now}
	for _, x := range listed {
		e := reader.Entry{Name: x.Name, Zone: Zone, Region: Region, Peer: x.Peer}
		if p, ok := peers[x.Name]; ok {
			e.Peer = p
		}
		l.Entries = append(l.Entries, e)
	}
	for _, x := range readers {
		x.SetList(l, now)
	}
}
