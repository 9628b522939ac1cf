package scenarist

import (
	"fmt"
	"os"
	"time"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/sampler"
	"sardinelever.example/sardinelever/internal/standin/launcher"
	"sardinelever.example/sardinelever/internal/standin/worker"
)

// usageMeter measures the resources that the machine, the trial's own process and
// the instances of a cluster use between start and print.
type usageMeter struct {
	startTime       time.Time
	machineBefore   sampler.MachineCPU
	selfBefore      sampler.ProcessUsage
	cluster         *deployer.Cluster
	instancesBefore map[*launcher.Instance]sampler.ProcessUsage
	controlBefore   map[*launcher.Instance]float64
}

func (u *usageMeter) start(c *deployer.Cluster) {
	u.startTime, u.machineBefore, u.cluster = time.Now(), sampler.ReadMachineCPU(), c
	u.selfBefore, _ = sampler.ReadProcessUsage(os.Getpid())
	u.instancesBefore = make(map[*launcher.Instance]sampler.ProcessUsage)
	u.controlBefore = make(map[*launcher.Instance]float64)
	for _, i := range c.RunningInstances() {
		u.instancesBefore[i], _ = sampler.ReadProcessUsage(i.Pid())
		u.controlBefore[i], _ = controlBytes(i)
	}
}

// controlBytes returns the bytes of control traffic that an instance has sent and
// received so far, and false if its metrics cannot be read.
func controlBytes(i *launcher.Instance) (float64, bool) {
	return sampler.SumCounters(fmt.Sprintf("http://%s/metrics", i.Settings.Operator), "sardinelever_link_bytes_total", "control")
}

// maxMachineShare is the share of all cores in use above which calls wait for a
// processor, so that latencies reflect the machine and not the load balancer.
const maxMachineShare = 0.6

// print writes the use of processor time, memory and control traffic since start.
// Instances that were started or ended meanwhile are left out.
func (u *usageMeter) print(t *Trial) {
	seconds := time.Since(u.startTime).Seconds()
	share := sampler.ReadMachineCPU().BusyShare(u.machineBefore)
	self, _ := sampler.ReadProcessUsage(os.Getpid())
	var sum, maxCPU, bytes float64
	var memory int
	n, served := 0, 0
	for _, i := range u.cluster.RunningInstances() {
		before, ok := u.instancesBefore[i]
		now, err := sampler.ReadProcessUsage(i.Pid())
		if !ok || err != nil {
			continue
		}
		n++
		cpu := (now.CPU - before.CPU).Seconds() / seconds
		sum, maxCPU, memory = sum+cpu, max(maxCPU, cpu), max(memory, now.Memory)
		if b, ok := controlBytes(i); ok {
			bytes, served = max(bytes, (b-u.controlBefore[i])/seconds), served+1
		}
	}
	t.printf("  machine %.0f%% of all cores; callers and stand-ins %.2f cores; %d instances %.2f cores, at most %.3f, at most %d MB\n",
		100*share, (self.CPU-u.selfBefore.CPU).Seconds()/seconds, n, sum, maxCPU, memory>>20)
	if served > 0 {
		t.printf("  control traffic at most %.0f B/s by %d instances' own count\n", bytes, served)
	}
	if share > maxMachineShare {
		t.printf("  warning: the machine was above %.0f%%, latencies include waiting for a processor\n", 100*maxMachineShare)
	}
}

// checkProbes prints the probes and fails if those of a backend server cost more
// than its budget in any second.
func (t *Trial) checkProbes(c *deployer.Cluster) {
	if _, worst := t.printProbes(c); worst > 1 {
		t.checkAlways(false, "probes of a backend server cost %.0f%% of its budget in one second", 100*worst)
	}
}

// printProbes prints the probes by service. It returns their total number and the
// largest share of its budget that any backend server spent on probes in one
// second. A probe counts with the cost that the configuration declares, not with
// its duration: a slow answer is no more work.
func (t *Trial) printProbes(c *deployer.Cluster) (total int, worst float64) {
	for i := range t.deployment.Groups {
		s := &t.deployment.Groups[i].Service
		all, maxRate := 0, 0
		for _, w := range serviceServers(c, s.Name) {
			times := w.ProbeTimes()
			all += len(times)
			maxRate = max(maxRate, maxPerSecond(times))
		}
		share := float64(maxRate) * s.Probe.Cost.AsDuration().Seconds() / s.Probe.Budget.AsDuration().Seconds()
		if all == 0 {
			continue
		}
		t.printf("  probes of %s: %d in all, at most %d in a second at one backend server, %.0f%% of its budget\n", s.Name, all, maxRate, 100*share)
		total, worst = total+all, max(worst, share)
	}
	return total, worst
}

// maxPerSecond returns the largest number of the sorted times that lie within one
// second.
func maxPerSecond(times []time.Time) int {
	highest, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// serviceServers returns the backend servers of a service of c.
func serviceServers(c *deployer.Cluster, service string) []*worker.Server {
	return c.Testbed.Servers[service]
}
