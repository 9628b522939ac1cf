package scenarist

import (
	"fmt"
	"time"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/sampler"
)

const (
	capacityTime   = 6 * time.Second // Of each phase.
	capacityMemory = 128 << 20       // Target for control, section 1.8 of the design.
	changePeriod   = time.Second     // Between two changes; the target has one in 18 s.
)

// capacity measures instances without calls at growing sizes, first without
// and then with a change of one service each second.
func capacity(t *Trial) error {
	for _, size := range [][2]int{{20, 200}, {80, 800}, {180, 2000}} {
		if err := t.capacityOf(size[0], size[1]); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trial) capacityOf(services, servers int) error {
	c := t.cluster()
	c.Deployment = deployer.Sized(services, servers)
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	defer c.Stop()
	t.sleep(time.Second) // The first reads and dials are over.
	t.printf("%s, %d instances\n", c.Deployment.Name, c.Instances)
	t.phase(c, "no changes", t.sleep)
	t.phase(c, fmt.Sprintf("a change each %v", changePeriod), func(d time.Duration) { t.publish(c, d) })
	return nil
}

// phase prints the use of instances while run lasts.
func (t *Trial) phase(c *deployer.Cluster, name string, run func(time.Duration)) {
	var u usage
	u.begin(c)
	run(capacityTime)
	t.printf("  %s:\n", name)
	u.print(t)
	for _, i := range c.Running() {
		if s, err := sampler.ReadProcessUsage(i.Pid()); err == nil && s.Memory > capacityMemory {
			t.count(false, "%s uses %d MB, target %d MB", i.Settings.Name, s.Memory>>20, capacityMemory>>20)
		}
	}
	t.count(len(c.Running()) == c.Instances, "%d of %d instances run at %s", len(c.Running()), c.Instances, c.Deployment.Name)
}

// publish changes the deadline of the first service once each period for d.
func (t *Trial) publish(c *deployer.Cluster, d time.Duration) {
	services := deployer.Services(c.Stager.Groups)
	for n := uint64(1); n <= uint64(d/changePeriod); n++ {
		services[0].Deadline = parser.Duration(time.Duration(n) * time.Second)
		text, err := bundler.BuildBundle(services, n+1, n)
		if err != nil {
			t.count(false, "bundle: %v", err)
			return
		}
		c.Stager.Platform.PublishBundle(text)
		t.sleep(changePeriod)
	}
}
