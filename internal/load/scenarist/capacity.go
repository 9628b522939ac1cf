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
	capacityPhaseDuration = 6 * time.Second
	maxInstanceMemory     = 128 << 20   // Bytes. An instance without calls uses memory only for control: section 1.8 of the design.
	changeInterval        = time.Second // Time between changes; the target load has one in 18 s.
)

// runCapacity measures the resources that instances use without calls, in
// deployments of growing size: first with a constant configuration, then with a
// change of one service each second.
func runCapacity(t *Trial) error {
	for _, size := range [][2]int{{20, 200}, {80, 800}, {180, 2000}} {
		if err := t.measureCapacity(size[0], size[1]); err != nil {
			return err
		}
	}
	return nil
}

// measureCapacity measures a deployment of the given size.
func (t *Trial) measureCapacity(services, servers int) error {
	c := t.newCluster()
	c.Deployment = deployer.NewSizedDeployment(services, servers)
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	defer c.Stop()
	t.sleep(time.Second) // Leaves out the first reads of the configuration and the first connections.
	t.printf("%s, %d instances\n", c.Deployment.Name, c.InstanceCount)
	t.measurePhase(c, "no changes", t.sleep)
	t.measurePhase(c, fmt.Sprintf("a change each %v", changeInterval), func(d time.Duration) { t.publishChanges(c, d) })
	return nil
}

// measurePhase prints the resources used while run lasts, under name, and checks
// that every instance still runs and is within its memory target.
func (t *Trial) measurePhase(c *deployer.Cluster, name string, run func(time.Duration)) {
	var meter usageMeter
	meter.start(c)
	run(capacityPhaseDuration)
	t.printf("  %s:\n", name)
	meter.print(t)
	for _, i := range c.RunningInstances() {
		if s, err := sampler.ReadProcessUsage(i.Pid()); err == nil && s.Memory > maxInstanceMemory {
			t.checkAlways(false, "%s uses %d MB, target %d MB", i.Settings.Name, s.Memory>>20, maxInstanceMemory>>20)
		}
	}
	t.checkAlways(len(c.RunningInstances()) == c.InstanceCount, "%d of %d instances run at %s", len(c.RunningInstances()), c.InstanceCount, c.Deployment.Name)
}

// publishChanges publishes a changed deadline of the first service every
// changeInterval for the duration d.
func (t *Trial) publishChanges(c *deployer.Cluster, d time.Duration) {
	services := deployer.ServiceConfigs(c.Testbed.Groups)
	for n := uint64(1); n <= uint64(d/changeInterval); n++ {
		services[0].Deadline = parser.Duration(time.Duration(n) * time.Second)
		text, err := bundler.BuildBundle(services, n+1, n)
		if err != nil {
			t.checkAlways(false, "bundle: %v", err)
			return
		}
		c.Testbed.Platform.PublishBundle(text)
		t.sleep(changeInterval)
	}
}
