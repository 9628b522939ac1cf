package scenarist

import (
	"syscall"
	"time"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
)

const onceDuration = 14 * time.Second

// callerRetries is how often a caller repeats a call that was rejected, cut off or
// reported as unknown.
const callerRetries = 2

// mixedStreams returns reads and two streams of non-idempotent calls: without an
// idempotency key, and with an issued one.
func (t *Trial) mixedStreams(till time.Duration) []planner.Stream {
	service := t.deployment.BookingService
	issued := namedStream(t.bookingStream(service, 0.25, 0, till), "issued", planner.InstanceKey, callerRetries)
	issued.Deadline = 2 * time.Second
	return []planner.Stream{t.readStream(0.2, 0, till), namedStream(t.bookingStream(service, 0.1, 0, till), "bare", planner.NoKey, 0), issued}
}

// mixedStreamsWithCallerKeys waits for keyWait and returns mixedStreams and a stream
// of calls whose idempotency keys the callers generate. The short form does not wait,
// so most of these calls end as unknown.
func (t *Trial) mixedStreamsWithCallerKeys(till time.Duration) []planner.Stream {
	if !t.Short {
		t.sleep(keyWait)
	}
	made := namedStream(t.bookingStream(t.deployment.BookingService, 0.25, 0, till), "made", planner.CallerKey, callerRetries)
	made.Deadline = 2 * time.Second
	return append(t.mixedStreams(till), made)
}

// keyWait is a little more than the 30 s for which an instance must have been
// the place of an idempotency key that a caller generated before it runs the
// call (section 6 of the design).
const keyWait = 31 * time.Second

// runOnce kills, pauses and replaces instances, cuts connections and delays
// answers while callers repeat their calls at other instances.
func runOnce(t *Trial) error {
	c := t.newCluster()
	c.UseServerProxies = true
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.scaleDuration(onceDuration)
	load := t.startStreams(c, t.mixedStreamsWithCallerKeys(end))
	instances := c.RunningInstances()
	paused := instances[1%len(instances)]
	load.sleepUntil(end / 8)
	t.startReplacement(c, instances[0])
	load.sleepUntil(end * 2 / 8)
	t.cutConnections(c)
	load.sleepUntil(end * 3 / 8)
	_ = paused.Signal(syscall.SIGSTOP)
	t.slowBookingServers(c, 40)
	load.sleepUntil(end * 5 / 8)
	_ = paused.Signal(syscall.SIGCONT)
	t.slowBookingServers(c, 1)
	t.cutConnections(c)
	load.sleepUntil(end * 6 / 8)
	t.startReplacement(c, instances[len(instances)-1])
	load.sleepUntil(end * 7 / 8)
	t.cutConnections(c)
	calls := load.awaitCalls("calls under kills, a pause, cuts and late answers")
	t.checkCorrectness(c, calls)
	t.printUnknownShares(calls)
	return t.awaitReplacements()
}

// cutConnections closes all connections to every other backend server.
func (t *Trial) cutConnections(c *deployer.Cluster) {
	for i := 0; i < len(c.ServerProxies); i += 2 {
		c.ServerProxies[i].CloseConns()
	}
}

// slowBookingServers multiplies the service times of half of the backend servers of
// the booking service by factor, so that answers can come after the deadlines.
func (t *Trial) slowBookingServers(c *deployer.Cluster, factor float64) {
	for i, w := range serviceServers(c, t.deployment.BookingService) {
		if i%2 == 0 {
			w.SetSlowdown(factor)
		}
	}
}

// printUnknownShares prints the shares of non-idempotent calls that ended as unknown,
// cut off and served, by stream.
func (t *Trial) printUnknownShares(calls []recorder.Call) {
	for _, name := range []string{"bare", "made", "issued"} {
		var part []recorder.Call
		for i := range calls {
			if calls[i].Arrival.Stream.Name == name {
				part = append(part, calls[i])
			}
		}
		s := recorder.SummarizeCalls(part)
		t.printf("  %s: %.2f%% unknown, %.2f%% cut off, %.2f%% served\n", name, outcomePercent(s, recorder.Unknown), outcomePercent(s, recorder.NoResponse), outcomePercent(s, recorder.Served))
	}
}

// outcomePercent returns the percentage of the calls in s with outcome o.
func outcomePercent(s *recorder.Summary, o recorder.Outcome) float64 {
	return 100 * float64(s.OutcomeCounts[o]) / float64(max(s.Offered, 1))
}
