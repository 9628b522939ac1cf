package fleetrunner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/standin/injector"
)

// Zone and Region are the availability zone and the region of all instances of
// this package.
const (
	Zone   = "z"
	Region = "home"
)

// Instance is a Registrar with the Connector that it uses. Start connects the two and
// sets their name, zone, region, address and audit fields.
type Instance struct {
	*registrar.Registrar                                   // Name is set before Start; Incarnation 0 means 1.
	Connector            *connector.Connector              // nil means a new Connector without encryption.
	ListenAddr           netip.AddrPort                    // The zero value means a free loopback port.
	Partition            *injector.PartitionedStreamOpener // Wraps the StreamOpener of the Registrar; nil means no partitions.
	HeartbeatPeriod      time.Duration                     // Start sets HeartbeatPeriod of the Registrar to it, and RedialInterval and Timeouts to multiples of it; if it is 0, Start sets none of these.
	ExtraTasks           []func(ctx context.Context) error // Also run until Stop.

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Start binds a port and runs the instance in the background until Stop.
func (i *Instance) Start() error {
	r := i.Registrar
	if r.Incarnation == 0 {
		r.Incarnation = 1
	}
	r.Zone, r.Region, r.Audit = Zone, Region, &auditor.Trail{}
	if period := i.HeartbeatPeriod; period != 0 {
		r.HeartbeatPeriod, r.RedialInterval = period, 5*period
		r.Timeouts = registrar.Timeouts{Silence: 4 * period, Gone: 20 * period, Unlisted: 60 * period, Avoid: period}
	}
	if i.Connector == nil {
		i.Connector = &connector.Connector{Plain: true}
	}
	c := i.Connector
	c.Name, c.Incarnation, c.Zone, c.Region, c.Audit = r.Name, r.Incarnation, Zone, Region, r.Audit
	c.Handlers = map[connector.StreamKind]connector.Handler{connector.ControlStream: r}
	c.OnPeerLost = r.HandleLostSession
	c.ListenAddr = i.ListenAddr
	if !c.ListenAddr.IsValid() {
		c.ListenAddr = netip.MustParseAddrPort("127.0.0.1:0")
	}
	if err := c.Bind(); err != nil {
		return err
	}
	r.PeerAddr, r.StreamOpener = c.Addr(), c
	if i.Partition != nil {
		i.Partition.StreamOpener = c
		r.StreamOpener = i.Partition
	}
	var ctx context.Context
	ctx, i.cancel = context.WithCancel(context.Background())
	for _, task := range append(i.ExtraTasks, c.Run, r.Run) {
		i.tasks.Add(1)
		go i.runTask(ctx, task)
	}
	return nil
}

func (i *Instance) runTask(ctx context.Context, task func(context.Context) error) {
	defer i.tasks.Done()
	_ = task(ctx)
}

// Stop ends the instance without notifying the others, as a crash does, and waits
// until its goroutines have ended.
func (i *Instance) Stop() {
	i.cancel()
	i.tasks.Wait()
}

// FindMember returns the member called name as this instance sees it, or the zero
// Member.
func (i *Instance) FindMember(name string) registrar.Member {
	for _, m := range i.Members() {
		if m.Name == name {
			return m
		}
	}
	return registrar.Member{}
}

// DistributeList gives readers a platform list of the instances in listed. An entry
// in peerAddrs, keyed by instance name, replaces the address of that instance.
func DistributeList(listed, readers []*Instance, peerAddrs map[string]netip.AddrPort) {
	now := time.Now()
	list := &reader.List{Time: now}
	for _, i := range listed {
		entry := reader.Entry{Name: i.Name, Zone: Zone, Region: Region, PeerAddr: i.PeerAddr}
		if addr, ok := peerAddrs[i.Name]; ok {
			entry.PeerAddr = addr
		}
		list.Entries = append(list.Entries, entry)
	}
	for _, i := range readers {
		i.SetList(list, now)
	}
}
