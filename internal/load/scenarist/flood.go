package scenarist

import (
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
)

const (
	calmFrom, calmTill   = 2 * time.Second, 14 * time.Second
	floodFrom, floodTill = 17 * time.Second, 32 * time.Second
	floodStart           = 14 * time.Second // The queues fill before the measured part.
	floodFactor          = 5.0
	floodTarget          = 1.2
	goodputTarget        = 0.95
)

// bulkFlood compares urgent calls before and during a flood of patient calls.
func bulkFlood(t *Trial) error {
	s := t.deployment.Reads
	r, calls, err := t.flood(
		t.reads(0.5, 0, floodTill),
		t.books(s, 0.1, 0, floodTill),
		t.bulk(s, floodFactor, floodStart, floodTill),
	)
	if err != nil {
		return err
	}
	part := func(from, till time.Duration) *recorder.Summary {
		return recorder.SummarizeCalls(r.driver.Recorder.Calls(recorder.DueBetween("lookup", r.start, from, till)))
	}
	before := part(calmFrom, calmTill)
	calm, flood := recorder.Percentile(before.PenalizedLatency, 99), recorder.Percentile(part(floodFrom, floodTill).PenalizedLatency, 99)
	// With refused calls the p99 is the deadline in both parts, and comparing says nothing.
	t.target(percent(before, recorder.Served) >= 99, "%.2f%% of urgent calls were served before the flood, needed 99%%", percent(before, recorder.Served))
	t.target(float64(flood) <= floodTarget*float64(calm), "urgent p99 %v in the flood is %.2f times that before, %v, target %v", flood, float64(flood)/float64(calm), calm, floodTarget)
	t.flooded(r, calls)
	return nil
}

// urgentFlood measures what the lower ranks keep during a flood of urgent calls.
func urgentFlood(t *Trial) error {
	s := t.deployment.Reads
	r, calls, err := t.flood(
		t.reads(0.3, 0, floodStart),
		named(t.reads(floodFactor, floodStart, floodTill), "flood", planner.NoIdentity, 0),
		t.books(s, 0.3, 0, floodTill),
		t.bulk(s, 0.2, 0, floodTill),
	)
	if err != nil {
		return err
	}
	t.floor(r, calls, "book", parser.Normal)
	t.floor(r, calls, "bulk", parser.Patient)
	t.flooded(r, calls)
	return nil
}

func (t *Trial) flood(streams ...planner.Stream) (*ride, []recorder.Call, error) {
	c := t.cluster()
	if err := c.Start(t.ctx); err != nil {
		return nil, nil, err
	}
	r := t.start(c, streams)
	r.until(floodFrom)
	before := t.worked(c)
	r.until(floodTill)
	t.printf("work of the backend servers in the flood: %.1f%% of their slots\n", 100*float64(t.worked(c)-before)/float64(t.slotTime()))
	calls := r.wait("all calls; flood from " + floodStart.String())
	return r, calls, nil
}

// worked returns the slot time that the backend servers of the reads have worked off.
func (t *Trial) worked(c *deployer.Cluster) time.Duration {
	var sum time.Duration
	for _, w := range workers(c, t.deployment.Reads) {
		for rank := range w.WorkNanos {
			sum += time.Duration(w.WorkNanos[rank].Load())
		}
	}
	return sum
}

// slotTime returns the slot time of the measured part of a flood.
func (t *Trial) slotTime() time.Duration {
	return (floodTill - floodFrom) * time.Duration(t.deployment.Slots(t.deployment.Reads))
}

// ended returns the calls of a stream that ended in the measured part of the flood.
func ended(r *ride, calls []recorder.Call, stream string) []recorder.Call {
	var out []recorder.Call
	for i := range calls {
		at := calls[i].End().Sub(r.start)
		if at >= floodFrom && at < floodTill && (stream == "" || calls[i].Arrival.Stream.Name == stream) {
			out = append(out, calls[i])
		}
	}
	return out
}

// flooded judges goodput and answers: served calls must fill the slots, and
// each call must be answered.
func (t *Trial) flooded(r *ride, calls []recorder.Call) {
	goodput := float64(recorder.SumServerTime(ended(r, calls, ""))) / float64(t.slotTime())
	t.target(goodput >= goodputTarget, "goodput in the flood is %.1f%% of capacity, target %.0f%%", 100*goodput, 100*goodputTarget)
	t.answered(calls)
	t.correct(r.cluster, calls)
}

// floor judges the share of the slots that a lower rank kept. It offers more
// than its floor, so the floor is what it must get.
func (t *Trial) floor(r *ride, calls []recorder.Call, stream string, rank parser.Rank) {
	g := t.deployment.Group(t.deployment.Reads)
	want := map[parser.Rank]float64{parser.Normal: g.Service.Floors.Normal, parser.Patient: g.Service.Floors.Patient}[rank]
	share := float64(recorder.SumServerTime(ended(r, calls, stream))) / float64(t.slotTime())
	t.target(share >= want, "%s calls kept %.1f%% of the slots, floor %.0f%%", rank, 100*share, 100*want)
}
