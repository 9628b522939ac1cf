package scenarist

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
	"sardinelever.example/sardinelever/internal/standin/worker"
)

const (
	overheadTarget      = 340 * time.Microsecond // Latency that an instance may add at p99, section 1.4 of the design.
	overheadServiceTime = 300 * time.Microsecond
	triplesPerSecond    = 400
	overheadWarmup      = 3 * time.Second
	overheadDuration    = 25 * time.Second
)

// runOverhead sends triples of calls, one through an instance and two directly to a
// backend server. The difference to a direct call is the latency that the instance
// adds; the difference between the direct calls shows the noise.
func runOverhead(t *Trial) error {
	c := t.newCluster()
	// The instances do not count the direct calls, which need slots of their own.
	c.SetupServer = func(w *worker.Server) { w.Slots, w.BusyWait = 4*w.Slots, true }
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	compared := &comparison{trial: t, cluster: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
	compared.viaInstance, compared.direct = recorder.NewLatencyHistogram(), recorder.NewLatencyHistogram()
	compared.added, compared.noise = recorder.NewLatencyHistogram(), recorder.NewLatencyHistogram()
	for _, e := range c.Testbed.ListEntries {
		if e.Service == t.deployment.ReadService {
			compared.serverURLs = append(compared.serverURLs, "http://"+e.Address.String()+"/lookup")
		}
	}
	for _, i := range c.RunningInstances() {
		compared.instanceURLs = append(compared.instanceURLs, i.CallersURL()+"/"+t.deployment.ReadService+"/lookup")
	}
	var meter usageMeter
	meter.start(c)
	compared.sendTriples(t.ctx)
	p99 := func(h *hdrhistogram.Histogram) time.Duration { return recorder.Percentile(h, 99) }
	t.printf("%d triples\n", compared.viaInstance.TotalCount())
	for _, q := range []float64{50, 90, 99, 99.9} {
		t.printf("  p%-5v direct %v, through an instance %v, paired difference %v, noise %v\n", q,
			recorder.Percentile(compared.direct, q), recorder.Percentile(compared.viaInstance, q), recorder.Percentile(compared.added, q), recorder.Percentile(compared.noise, q))
	}
	meter.print(t)
	t.checkAlways(compared.failed == 0, "%d calls failed", compared.failed)
	t.checkTarget(p99(compared.viaInstance)-p99(compared.direct) <= overheadTarget, "p99 through an instance is %v above the direct p99, target %v", p99(compared.viaInstance)-p99(compared.direct), overheadTarget)
	t.checkTarget(p99(compared.added) <= overheadTarget, "p99 of paired differences is %v, target %v", p99(compared.added), overheadTarget)
	return nil
}

// comparison sends the triples and holds the latencies of their calls.
type comparison struct {
	trial                    *Trial
	cluster                  *deployer.Cluster
	client                   *http.Client
	serverURLs, instanceURLs []string

	triples                           sync.WaitGroup
	mu                                sync.Mutex
	viaInstance, direct, added, noise *hdrhistogram.Histogram
	failed                            int
}

// sendTriples sends triples of calls at random times for overheadDuration and waits
// for all answers.
func (c *comparison) sendTriples(ctx context.Context) {
	s := planner.Stream{Rate: triplesPerSecond, Till: overheadDuration, MeanServiceTime: overheadServiceTime}
	start := time.Now()
	for _, a := range planner.DrawArrivals(c.trial.Seed, []planner.Stream{s}) {
		time.Sleep(time.Until(start.Add(a.At)))
		if ctx.Err() != nil {
			break
		}
		c.triples.Add(1)
		go c.sendTriple(ctx, a.At >= overheadWarmup)
	}
	c.triples.Wait()
}

// sendTriple sends the three calls one after another in random order, so that none
// gains from its position, and records their latencies if measured is set.
func (c *comparison) sendTriple(ctx context.Context, measured bool) {
	defer c.triples.Done()
	server, instance := c.serverURLs[rand.N(len(c.serverURLs))], c.instanceURLs[rand.N(len(c.instanceURLs))]
	urls := []string{server, server, instance}
	took := make([]time.Duration, len(urls))
	ok := true
	for _, i := range rand.Perm(len(urls)) {
		var fine bool
		took[i], fine = c.sendCall(ctx, urls[i])
		ok = ok && fine
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		c.failed++
		return
	}
	if measured {
		recorder.RecordLatency(c.direct, took[0])
		recorder.RecordLatency(c.viaInstance, took[2])
		recorder.RecordLatency(c.added, took[2]-took[0])
		recorder.RecordLatency(c.noise, took[1]-took[0])
	}
}

// sendCall returns the latency of one call, and false if it failed.
func (c *comparison) sendCall(ctx context.Context, url string) (time.Duration, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, false
	}
	req.Header.Set(worker.ServiceTimeHeader, strconv.FormatInt(overheadServiceTime.Microseconds(), 10))
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return time.Since(start), err == nil && resp.StatusCode == http.StatusOK
}
