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

// usage is the use of resources of a cluster from begin to print.
type usage struct {
	start   time.Time
	machine sampler.MachineCPU
	self    sampler.ProcessUsage
	cluster *deployer.Cluster
	before  map[*launcher.Instance]sampler.ProcessUsage
	control map[*launcher.Instance]float64
}

func (u *usage) begin(c *deployer.Cluster) {
	u.start, u.machine, u.cluster = time.Now(), sampler.ReadMachineCPU(), c
	u.self, _ = sampler.ReadProcessUsage(os.Getpid())
	u.before = make(map[*launcher.Instance]sampler.ProcessUsage)
	u.control = make(map[*launcher.Instance]float64)
	for _, i := range c.Running() {
		u.before[i], _ = sampler.ReadProcessUsage(i.Pid())
		u.control[i], _ = control(i)
	}
}

// control returns the bytes of control traffic of an instance so far, in both directions.
func control(i *launcher.Instance) (float64, bool) {
	return sampler.SumCounters(fmt.Sprintf("http://%s/metrics", i.Settings.Operator), "sardinelever_link_bytes_total", "control")
}

// maxMachine is the share of the machine above which calls wait for a
// processor, so that latencies measure the machine instead of the program.
const maxMachine = 0.6

// print writes processor time, memory and control traffic; instances that were
// started or ended meanwhile are left out.
func (u *usage) print(t *Trial) {
	passed := time.Since(u.start).Seconds()
	share := sampler.ReadMachineCPU().BusyShare(u.machine)
	self, _ := sampler.ReadProcessUsage(os.Getpid())
	var sum, most, bytes float64
	var memory int
	n, served := 0, 0
	for _, i := range u.cluster.Running() {
		before, ok := u.before[i]
		now, err := sampler.ReadProcessUsage(i.Pid())
		if !ok || err != nil {
			continue
		}
		n++
		cpu := (now.CPU - before.CPU).Seconds() / passed
		sum, most, memory = sum+cpu, max(most, cpu), max(memory, now.Memory)
		if b, ok := control(i); ok {
			bytes, served = max(bytes, (b-u.control[i])/passed), served+1
		}
	}
	t.printf("  machine %.0f%% of all cores; callers and stand-ins %.2f cores; %d instances %.2f cores, at most %.3f, at most %d MB\n",
		100*share, (self.CPU-u.self.CPU).Seconds()/passed, n, sum, most, memory>>20)
	if served > 0 {
		t.printf("  control traffic at most %.0f B/s by %d instances' own count\n", bytes, served)
	}
	if share > maxMachine {
		t.printf("  warning: the machine was above %.0f%%, latencies include waiting for a processor\n", 100*maxMachine)
	}
}

// measuring prints and judges the probes: in no second may the probes of a
// backend server cost more than its budget.
func (t *Trial) measuring(c *deployer.Cluster) {
	if _, worst := t.measured(c); worst > 1 {
		t.count(false, "probes of a backend server cost %.0f%% of its budget in one second", 100*worst)
	}
}

// measured prints the probes by service and returns their number and the
// largest share of its budget that a backend server spent in any one second.
// A probe costs what the configuration declares: a slow answer is no more work.
func (t *Trial) measured(c *deployer.Cluster) (total int, worst float64) {
	for i := range t.deployment.Parts {
		s := &t.deployment.Parts[i].Service
		all, most := 0, 0
		for _, w := range workers(c, s.Name) {
			times := w.ProbeTimes()
			all += len(times)
			most = max(most, perSecond(times))
		}
		share := float64(most) * s.Probe.Cost.AsDuration().Seconds() / s.Probe.Budget.AsDuration().Seconds()
		if all == 0 {
			continue
		}
		t.printf("  probes of %s: %d in all, at most %d in a second at one backend server, %.0f%% of its budget\n", s.Name, all, most, 100*share)
		total, worst = total+all, max(worst, share)
	}
	return total, worst
}

// perSecond returns the largest number of times within any one second.
func perSecond(times []time.Time) int {
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// workers returns all backend servers of a service of c.
func workers(c *deployer.Cluster, service string) []*worker.Server { return c.Stager.Servers[service] }
