package scenarist

import (
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
)

const (
	beforeFrom, beforeTill     = 2 * time.Second, 14 * time.Second  // Measured part before the flood.
	measuredFrom, measuredTill = 17 * time.Second, 32 * time.Second // Measured part of the flood.
	floodStart                 = 14 * time.Second                   // The queues fill until measuredFrom.
	floodFactor                = 5.0                                // Load of the flood relative to the capacity of the service.
	floodLatencyTarget         = 1.2                                // p99 of urgent calls in the flood relative to that before.
	goodputTarget              = 0.95                               // Share of the slot time that served calls use.
)

// runBulkFlood compares the p99 of urgent calls before and during a flood of patient
// calls.
func runBulkFlood(t *Trial) error {
	service := t.deployment.ReadService
	load, calls, err := t.driveFlood(
		t.readStream(0.5, 0, measuredTill),
		t.bookingStream(service, 0.1, 0, measuredTill),
		t.bulkStream(service, floodFactor, floodStart, measuredTill),
	)
	if err != nil {
		return err
	}
	summarize := func(from, till time.Duration) *recorder.Summary {
		return recorder.SummarizeCalls(load.driver.Recorder.Calls(recorder.DueBetween("lookup", load.start, from, till)))
	}
	before := summarize(beforeFrom, beforeTill)
	p99Before, p99Flood := recorder.Percentile(before.PenalizedLatency, 99), recorder.Percentile(summarize(measuredFrom, measuredTill).PenalizedLatency, 99)
	// If calls were refused before the flood, the p99 would be their deadline in
	// both parts and the comparison would say nothing.
	t.checkTarget(outcomePercent(before, recorder.Served) >= 99, "%.2f%% of urgent calls were served before the flood, needed 99%%", outcomePercent(before, recorder.Served))
	t.checkTarget(float64(p99Flood) <= floodLatencyTarget*float64(p99Before), "urgent p99 %v in the flood is %.2f times that before, %v, target %v", p99Flood, float64(p99Flood)/float64(p99Before), p99Before, floodLatencyTarget)
	t.checkFlood(load, calls)
	return nil
}

// runUrgentFlood checks that the lower ranks keep their floors during a flood of
// urgent calls.
func runUrgentFlood(t *Trial) error {
	service := t.deployment.ReadService
	load, calls, err := t.driveFlood(
		t.readStream(0.3, 0, floodStart),
		namedStream(t.readStream(floodFactor, floodStart, measuredTill), "flood", planner.NoKey, 0),
		t.bookingStream(service, 0.3, 0, measuredTill),
		t.bulkStream(service, 0.2, 0, measuredTill),
	)
	if err != nil {
		return err
	}
	t.checkFloor(load, calls, "book", parser.Normal)
	t.checkFloor(load, calls, "bulk", parser.Patient)
	t.checkFlood(load, calls)
	return nil
}

// driveFlood starts a cluster, sends the calls of streams and prints how busy the
// backend servers were in the measured part.
func (t *Trial) driveFlood(streams ...planner.Stream) (*loadRun, []recorder.Call, error) {
	c := t.newCluster()
	if err := c.Start(t.ctx); err != nil {
		return nil, nil, err
	}
	load := t.startStreams(c, streams)
	load.sleepUntil(measuredFrom)
	before := t.busySlotTime(c)
	load.sleepUntil(measuredTill)
	t.printf("work of the backend servers in the flood: %.1f%% of their slots\n", 100*float64(t.busySlotTime(c)-before)/float64(t.totalSlotTime()))
	calls := load.awaitCalls("all calls; flood from " + floodStart.String())
	return load, calls, nil
}

// busySlotTime returns how long the slots of the read service have been busy so
// far, summed over its backend servers.
func (t *Trial) busySlotTime(c *deployer.Cluster) time.Duration {
	var sum time.Duration
	for _, w := range serviceServers(c, t.deployment.ReadService) {
		for rank := range w.WorkNanos {
			sum += time.Duration(w.WorkNanos[rank].Load())
		}
	}
	return sum
}

// totalSlotTime returns the slot time of the read service in the measured part of
// a flood: its duration times the number of slots.
func (t *Trial) totalSlotTime() time.Duration {
	return (measuredTill - measuredFrom) * time.Duration(t.deployment.Slots(t.deployment.ReadService))
}

// endedInFlood returns the calls of a stream, or of all if stream is empty, that
// ended in the measured part of the flood.
func endedInFlood(load *loadRun, calls []recorder.Call, stream string) []recorder.Call {
	var out []recorder.Call
	for i := range calls {
		at := calls[i].End().Sub(load.start)
		if at >= measuredFrom && at < measuredTill && (stream == "" || calls[i].Arrival.Stream.Name == stream) {
			out = append(out, calls[i])
		}
	}
	return out
}

// checkFlood checks that served calls keep the slots busy in the flood, that each
// call is answered and that no call breaks a guarantee.
func (t *Trial) checkFlood(load *loadRun, calls []recorder.Call) {
	goodput := float64(recorder.SumServerTime(endedInFlood(load, calls, ""))) / float64(t.totalSlotTime())
	t.checkTarget(goodput >= goodputTarget, "goodput in the flood is %.1f%% of capacity, target %.0f%%", 100*goodput, 100*goodputTarget)
	t.checkAnswered(calls)
	t.checkCorrectness(load.cluster, calls)
}

// checkFloor checks that the calls of a lower rank got at least its floor, the share
// of the slots that the rank keeps while higher ranks flood the service. Their
// load is above the floor, so they can use all of it.
func (t *Trial) checkFloor(load *loadRun, calls []recorder.Call, stream string, rank parser.Rank) {
	g := t.deployment.Group(t.deployment.ReadService)
	want := map[parser.Rank]float64{parser.Normal: g.Service.Floors.Normal, parser.Patient: g.Service.Floors.Patient}[rank]
	share := float64(recorder.SumServerTime(endedInFlood(load, calls, stream))) / float64(t.totalSlotTime())
	t.checkTarget(share >= want, "%s calls kept %.1f%% of the slots, floor %.0f%%", rank, 100*share, 100*want)
}
