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
	"sardinelever.example/sardinelever/internal/standin/breaker"
	"sardinelever.example/sardinelever/internal/standin/launcher"
	"sardinelever.example/sardinelever/internal/standin/stager"
	"sardinelever.example/sardinelever/internal/standin/worker"
)

// Cluster is a running deployment; the exported fields down to Setup are set before Start.
type Cluster struct {
	Deployment *Deployment
	Launcher   *launcher.Launcher // Built already.
	Instances  int
	Policy     string               // Policy of the instances; empty means their default.
	Notice     time.Duration        // Notice of a stopping instance.
	Fronted    bool                 // Fronted puts a breaker before each backend server.
	Split      bool                 // Split puts breakers between the instances of different zones.
	Setup      func(*worker.Worker) // Changes each backend server before it serves.

	Entrance driver.Entrance
	Ledger   worker.Ledger
	Stager   stager.Stager
	Breakers []*breaker.Breaker // Before backend servers, in the order of Stager.Entries.
	isolator zoneIsolator

	mu             sync.Mutex
	running        []*launcher.Instance
	listedSettings []*parser.Settings
}

// Zones are the availability zones of each deployment.
var Zones = []string{"a", "b", "c"}

// Ready bounds the wait for an instance to become ready.
const readyTimeout = 15 * time.Second

// Start starts everything and waits until all instances are ready.
func (c *Cluster) Start(ctx context.Context) error {
	if c.Notice == 0 {
		c.Notice = 2 * time.Second
	}
	for _, g := range c.Deployment.Parts {
		g.Setup = c.setUpWorker
		g.Service.Deadline = parser.Duration(5 * time.Second)
		c.Stager.Groups = append(c.Stager.Groups, g)
	}
	c.Stager.Zones = Zones
	if c.Fronted {
		c.Stager.Front = c.addServerBreaker
	}
	if err := c.Stager.Start(); err != nil {
		return err
	}
	if c.Split {
		if err := c.isolator.start(&c.Stager.Platform); err != nil {
			return err
		}
	}
	// All are listed before the first starts: a list that grows would change
	// the places of identities, which section 6 of the design answers with unknown.
	for n := range c.Instances {
		if _, err := c.addSettings(fmt.Sprintf("i%02d", n+1), Zones[n%len(Zones)]); err != nil {
			return err
		}
	}
	c.List(nil)
	for _, s := range c.listedSettings {
		if _, err := c.launchInstance(s); err != nil {
			return err
		}
	}
	var g errgroup.Group
	for _, i := range c.Running() {
		g.Go(c.awaitReady(ctx, i))
	}
	return g.Wait()
}

func (c *Cluster) setUpWorker(w *worker.Worker) {
	w.Ledger = &c.Ledger
	if c.Setup != nil {
		c.Setup(w)
	}
}

func (c *Cluster) addServerBreaker(addr netip.AddrPort) (netip.AddrPort, error) {
	b := &breaker.Breaker{Target: addr}
	c.Breakers = append(c.Breakers, b)
	return b.Start()
}

// awaitReady returns a function that waits for i and opens the entrance to it.
func (c *Cluster) awaitReady(ctx context.Context, i *launcher.Instance) func() error {
	return func() error {
		for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
			if err := i.Await(time.Second); err == nil {
				c.Entrance.Add(i.URL())
				return nil
			}
			if !slices.Contains(c.Running(), i) {
				return nil // The trial ended it before it was ready.
			}
		}
		return errors.Errorf("instance %s is not ready; see %s", i.Settings.Name, i.Log)
	}
}

// addSettings makes the settings of an instance and adds it to the list.
func (c *Cluster) addSettings(name, zone string) (*parser.Settings, error) {
	s := &parser.Settings{
		Name: name, Zone: zone, Platform: c.Stager.URL, Policy: c.Policy,
		Notice: parser.Duration(c.Notice), Plain: true,
	}
	if err := launcher.Reserve(s); err != nil {
		return nil, err
	}
	if c.Split {
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
	i, err := c.Launcher.Start(s)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = append(c.running, i)
	return i, nil
}

// Replace starts a new instance in place of the ended i, with its name and
// zone and other addresses, and waits until it receives calls.
func (c *Cluster) Replace(ctx context.Context, i *launcher.Instance) error {
	c.removeInstance(i)
	s, err := c.addSettings(i.Settings.Name, i.Settings.Zone)
	if err != nil {
		return err
	}
	c.List(nil)
	replacement, err := c.launchInstance(s)
	if err != nil {
		return err
	}
	return c.awaitReady(ctx, replacement)()
}

// Kill ends i at once; the platform's load balancer and list notice after a second.
func (c *Cluster) Kill(i *launcher.Instance) {
	_ = i.Signal(syscall.SIGKILL)
	<-i.Done()
	time.Sleep(time.Second)
	c.removeInstance(i)
	c.List(nil)
}

func (c *Cluster) removeInstance(i *launcher.Instance) {
	c.Entrance.Remove(i.URL())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = slices.DeleteFunc(slices.Clone(c.running), func(x *launcher.Instance) bool { return x == i })
	c.listedSettings = slices.DeleteFunc(slices.Clone(c.listedSettings), func(s *parser.Settings) bool { return s == i.Settings })
}

// Running returns the instances that were started and not ended by the cluster.
func (c *Cluster) Running() []*launcher.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*launcher.Instance(nil), c.running...)
}

// List publishes the list; leaving names its leaving entries.
func (c *Cluster) List(leaving map[string]bool) {
	entries := append([]reader.Entry(nil), c.Stager.Entries...)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.listedSettings {
		entries = append(entries, reader.Entry{Name: s.Name, Address: s.Callers, Peer: s.Peers, Zone: s.Zone, Region: "home"})
	}
	for n := range entries {
		entries[n].Leaving = leaving[entries[n].Name]
	}
	c.Stager.Platform.SetList(entries)
}

// Stop ends all processes and listeners.
func (c *Cluster) Stop() {
	for _, i := range c.Running() {
		_ = i.Signal(syscall.SIGCONT)
		_ = i.Signal(syscall.SIGKILL)
	}
	for _, i := range c.Running() {
		<-i.Done()
	}
	for _, b := range c.Breakers {
		b.Stop()
	}
	c.isolator.stop()
	c.Stager.Stop()
}
