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
	overheadTarget  = 340 * time.Microsecond // Section 1.4 of the design.
	overheadService = 300 * time.Microsecond
	overheadRate    = 400 // Triples of calls per second.
	overheadWarm    = 3 * time.Second
	overheadTime    = 25 * time.Second
)

// overhead sends triples of calls: one through an instance, two directly to a
// backend server. The difference of the direct ones shows the noise.
func overhead(t *Trial) error {
	c := t.cluster()
	// Direct calls are unknown to the instances and need slots of their own.
	c.Setup = func(w *worker.Server) { w.Slots, w.BusyWait = 4*w.Slots, true }
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	o := &comparison{trial: t, cluster: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
	o.via, o.direct = recorder.NewLatencyHistogram(), recorder.NewLatencyHistogram()
	o.added, o.noise = recorder.NewLatencyHistogram(), recorder.NewLatencyHistogram()
	for _, e := range c.Stager.ListEntries {
		if e.Service == t.deployment.Reads {
			o.servers = append(o.servers, "http://"+e.Address.String()+"/lookup")
		}
	}
	for _, i := range c.Running() {
		o.instances = append(o.instances, i.CallersURL()+"/"+t.deployment.Reads+"/lookup")
	}
	var use usage
	use.begin(c)
	o.run(t.ctx)
	p99 := func(h *hdrhistogram.Histogram) time.Duration { return recorder.Percentile(h, 99) }
	t.printf("%d triples\n", o.via.TotalCount())
	for _, q := range []float64{50, 90, 99, 99.9} {
		t.printf("  p%-5v direct %v, through an instance %v, paired difference %v, noise %v\n", q,
			recorder.Percentile(o.direct, q), recorder.Percentile(o.via, q), recorder.Percentile(o.added, q), recorder.Percentile(o.noise, q))
	}
	use.print(t)
	t.count(o.failed == 0, "%d calls failed", o.failed)
	t.target(p99(o.via)-p99(o.direct) <= overheadTarget, "p99 through an instance is %v above the direct p99, target %v", p99(o.via)-p99(o.direct), overheadTarget)
	t.target(p99(o.added) <= overheadTarget, "p99 of paired differences is %v, target %v", p99(o.added), overheadTarget)
	return nil
}

// comparison holds the latencies of calls with and without an instance.
type comparison struct {
	trial              *Trial
	cluster            *deployer.Cluster
	client             *http.Client
	servers, instances []string

	all                       sync.WaitGroup
	mu                        sync.Mutex
	via, direct, added, noise *hdrhistogram.Histogram
	failed                    int
}

func (o *comparison) run(ctx context.Context) {
	s := planner.Stream{Rate: overheadRate, Till: overheadTime, MeanServiceTime: overheadService}
	start := time.Now()
	for _, a := range planner.DrawArrivals(o.trial.Seed, []planner.Stream{s}) {
		time.Sleep(time.Until(start.Add(a.At)))
		if ctx.Err() != nil {
			break
		}
		o.all.Add(1)
		go o.triple(ctx, a.At >= overheadWarm)
	}
	o.all.Wait()
}

func (o *comparison) triple(ctx context.Context, count bool) {
	defer o.all.Done()
	server, instance := o.servers[rand.N(len(o.servers))], o.instances[rand.N(len(o.instances))]
	urls := []string{server, server, instance}
	took := make([]time.Duration, len(urls))
	ok := true
	for _, i := range rand.Perm(len(urls)) {
		var fine bool
		took[i], fine = o.call(ctx, urls[i])
		ok = ok && fine
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !ok {
		o.failed++
		return
	}
	if count {
		recorder.RecordLatency(o.direct, took[0])
		recorder.RecordLatency(o.via, took[2])
		recorder.RecordLatency(o.added, took[2]-took[0])
		recorder.RecordLatency(o.noise, took[1]-took[0])
	}
}

func (o *comparison) call(ctx context.Context, url string) (time.Duration, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, false
	}
	req.Header.Set(worker.ServiceTimeHeader, strconv.FormatInt(overheadService.Microseconds(), 10))
	start := time.Now()
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return time.Since(start), err == nil && resp.StatusCode == http.StatusOK
}
