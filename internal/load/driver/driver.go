package driver

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/flow/sleeper"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
)

// Driver sends the calls of Plan to the instances that Balancer chooses and adds
// the results to Recorder. The exported fields are set before SendCalls.
type Driver struct {
	Plan     []planner.Arrival
	Balancer *PlatformBalancer
	Recorder *recorder.Recorder
	Start    time.Time // Time 0 of Plan; the zero value means the start of SendCalls.

	client *http.Client
}

// responseGrace is how long a caller waits for the response after the deadline
// of its call.
const responseGrace = time.Second

// defaultDeadline is the deadline that a caller assumes for a call whose stream
// leaves the deadline to the route.
const defaultDeadline = 10 * time.Second

// SendCalls sends each call of Plan at its intended time and returns when all
// callers have finished. When ctx is done it sends no further calls, and the
// running callers end early.
func (d *Driver) SendCalls(ctx context.Context) {
	if d.Start.IsZero() {
		d.Start = time.Now()
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}
	defer transport.CloseIdleConnections()
	d.client = &http.Client{Transport: transport}
	var callers sync.WaitGroup
	for i := range d.Plan {
		a := &d.Plan[i]
		c := &caller{driver: d, running: &callers}
		c.Arrival, c.Start, c.Name = a, d.Start.Add(a.At), fmt.Sprintf("%d-%d", d.Start.UnixNano(), i)
		if !sleeper.Sleep(ctx, time.Until(c.Start)) {
			break
		}
		callers.Add(1)
		go c.sendUntilAnswered(ctx)
	}
	callers.Wait()
}
