package deployer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/load/driver"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/standin/injector"
	"sardinelever.example/sardinelever/internal/standin/launcher"
	"sardinelever.example/sardinelever/internal/standin/provisioner"
	"sardinelever.example/sardinelever/internal/standin/worker"
)

// Cluster runs a deployment. The exported fields down to SetupServer are set before
// Start; the others may be used after it.
type Cluster struct {
	Deployment       *Deployment
	Launcher         *launcher.Launcher // Its binary must be built before Start.
	InstanceCount    int
	Policy           string               // Dispatch policy of the instances; empty means their default.
	Notice           time.Duration        // Time from readiness false until a stopping instance accepts no more calls; 0 means 2 s.
	UseServerProxies bool                 // Lists each backend server at the address of a proxy that forwards to it.
	UseZoneProxies   bool                 // Puts proxies between the instances of different zones, for SeparateZone.
	SetupServer      func(*worker.Server) // Changes each backend server before it serves; nil means no change.

	Balancer      driver.PlatformBalancer
	RunCounter    worker.RunCounter
	Testbed       provisioner.Testbed
	ServerProxies []*injector.Proxy // With UseServerProxies, one for each of Testbed.ListEntries in the same order.
	isolator      zoneIsolator

	mu             sync.Mutex
	running        []*launcher.Instance
	listedSettings []*parser.Settings
}

// Zones are the availability zones of every deployment; instances and backend
// servers are spread over them in turn.
var Zones = []string{"a", "b", "c"}

// readyTimeout bounds the wait for an instance to become ready.
const readyTimeout = 15 * time.Second

// Start starts the stand-ins and the instances and waits until all instances
// are ready.
func (c *Cluster) Start(ctx context.Context) error {
	if c.Notice == 0 {
		c.Notice = 2 * time.Second
	}
	for _, g := range c.Deployment.Groups {
		g.SetupServer = c.setUpServer
		g.Service.Deadline = parser.Duration(5 * time.Second)
		c.Testbed.Groups = append(c.Testbed.Groups, g)
	}
	c.Testbed.Zones = Zones
	if c.UseServerProxies {
		c.Testbed.ListedAddr = c.addServerProxy
	}
	if err := c.Testbed.Start(); err != nil {
		return err
	}
	if c.UseZoneProxies {
		if err := c.isolator.start(&c.Testbed.Platform); err != nil {
			return err
		}
	}
	// All instances are listed before the first one starts. A growing list moves
	// the places of idempotency keys to other instances, which then report calls
	// as unknown (section 6 of the design).
	for n := range c.InstanceCount {
		if _, err := c.addSettings(fmt.Sprintf("i%02d", n+1), Zones[n%len(Zones)]); err != nil {
			return err
		}
	}
	c.PublishList(nil)
	for _, s := range c.listedSettings {
		if _, err := c.launchInstance(s); err != nil {
			return err
		}
	}
	var g errgroup.Group
	for _, i := range c.RunningInstances() {
		g.Go(c.awaitReady(ctx, i))
	}
	return g.Wait()
}

func (c *Cluster) setUpServer(w *worker.Server) {
	w.RunCounter = &c.RunCounter
	if c.SetupServer != nil {
		c.SetupServer(w)
	}
}

func (c *Cluster) addServerProxy(addr netip.AddrPort) (netip.AddrPort, error) {
	p := &injector.Proxy{Target: addr}
	c.ServerProxies = append(c.ServerProxies, p)
	return p.Start()
}

// awaitReady returns a function that waits until i is ready and then adds it to
// Balancer. It returns an error when i is not ready within readyTimeout or ctx is
// done.
func (c *Cluster) awaitReady(ctx context.Context, i *launcher.Instance) func() error {
	return func() error {
		for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
			if err := i.WaitReady(time.Second); err == nil {
				c.Balancer.AddInstance(i.CallersURL())
				return nil
			}
			if !slices.Contains(c.RunningInstances(), i) {
				return nil // The trial ended the instance before it was ready.
			}
		}
		return errors.Errorf("instance %s is not ready; see %s", i.Settings.Name, i.LogPath)
	}
}

// addSettings makes the settings of an instance, with free ports, and adds them
// to those that the next published list contains.
func (c *Cluster) addSettings(name, zone string) (*parser.Settings, error) {
	s := &parser.Settings{
		Name: name, Zone: zone, Platform: c.Testbed.PlatformURL, Policy: c.Policy,
		Notice: parser.Duration(c.Notice), Plain: true,
	}
	if err := launcher.ReservePorts(s); err != nil {
		return nil, err
	}
	if c.UseZoneProxies {
		s.Platform = c.isolator.url + "/" + zone
		if err := c.isolator.addInstance(s.Peers, zone); err != nil {
			return nil, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedSettings = append(c.listedSettings, s)
	return s, nil
}

func (c *Cluster) launchInstance(s *parser.Settings) (*launcher.Instance, error) {
	i, err := c.Launcher.StartInstance(s)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = append(c.running, i)
	return i, nil
}

// ReplaceInstance starts a new instance with the name and zone of i, which has
// ended, and with new addresses. It returns when the new instance receives calls,
// or with an error when it is not ready within readyTimeout.
func (c *Cluster) ReplaceInstance(ctx context.Context, i *launcher.Instance) error {
	c.removeInstance(i)
	s, err := c.addSettings(i.Settings.Name, i.Settings.Zone)
	if err != nil {
		return err
	}
	c.PublishList(nil)
	replacement, err := c.launchInstance(s)
	if err != nil {
		return err
	}
	return c.awaitReady(ctx, replacement)()
}

// KillInstance kills the process of i. The platform's load balancer and list drop i
// one second later, which stands for the time that they take to notice.
func (c *Cluster) KillInstance(i *launcher.Instance) {
	_ = i.Signal(syscall.SIGKILL)
	<-i.Done()
	time.Sleep(time.Second)
	c.removeInstance(i)
	c.PublishList(nil)
}

func (c *Cluster) removeInstance(i *launcher.Instance) {
	c.Balancer.RemoveInstance(i.CallersURL())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = slices.DeleteFunc(slices.Clone(c.running), func(x *launcher.Instance) bool { return x == i })
	c.listedSettings = slices.DeleteFunc(slices.Clone(c.listedSettings), func(s *parser.Settings) bool { return s == i.Settings })
}

// RunningInstances returns the instances that were started and not yet removed by
// KillInstance or ReplaceInstance. One that ended otherwise is still included.
func (c *Cluster) RunningInstances() []*launcher.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*launcher.Instance(nil), c.running...)
}

// PublishList publishes the platform's list of instances and backend servers.
// Entries whose names are in leaving are marked as leaving.
func (c *Cluster) PublishList(leaving map[string]bool) {
	entries := append([]reader.Entry(nil), c.Testbed.ListEntries...)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.listedSettings {
		entries = append(entries, reader.Entry{Name: s.Name, Address: s.Callers, PeerAddr: s.Peers, Zone: s.Zone, Region: "home"})
	}
	for n := range entries {
		entries[n].Leaving = leaving[entries[n].Name]
	}
	c.Testbed.Platform.SetList(entries)
}

// Stop kills all instances, paused ones included, and closes all listeners.
func (c *Cluster) Stop() {
	for _, i := range c.RunningInstances() {
		_ = i.Signal(syscall.SIGCONT)
		_ = i.Signal(syscall.SIGKILL)
	}
	for _, i := range c.RunningInstances() {
		<-i.Done()
	}
	for _, p := range c.ServerProxies {
		p.Stop()
	}
	c.isolator.stop()
	c.Testbed.Stop()
}
