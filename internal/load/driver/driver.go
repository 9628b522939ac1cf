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

// Driver sends the calls of Plan; the fields are set before Run.
type Driver struct {
	Plan     []planner.Arrival
	Entrance *Entrance
	Record   *recorder.Recorder
	Start    time.Time // Time 0 of Plan; the zero value means the start of Run.

	client *http.Client
}

// responseGrace is how long a caller waits beyond the deadline of its call.
const responseGrace = time.Second

// defaultDeadline is that of a route without one.
const defaultDeadline = 10 * time.Second

// Run sends all calls and waits for their ends, or until ctx is done.
func (d *Driver) Run(ctx context.Context) {
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
