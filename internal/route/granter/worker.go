package granter

import (
	"net/netip"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/route/mapper"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

type op uint8

const (
	opAsk op = iota
	opCancel
	opDone
	opKeep
	opUse
	opHeld
	opClose
	opObserve
	opReset
	opStatus
)

// request is one message to the goroutine of a pool.
type request struct {
	op     op
	ask    Ask
	server netip.AddrPort
	figure tracker.Figure
	status chan Status
}

const (
	// maxRequests bounds the requests that wait for the goroutine of a pool.
	maxRequests = 1024
	// queueTick is the resolution of deadlines in the queues.
	queueTick = 5 * time.Millisecond
	// grantTick is the resolution of the deadlines of grants.
	grantTick = 250 * time.Millisecond
)

// worker runs one pool.
type worker struct {
	pool     Pool
	maps     *mapper.Holder
	sample   func(service string, server netip.AddrPort)
	requests chan *request
	quit     chan struct{}
	used     atomic.Int64 // Time of the last request in Unix nanoseconds.
	busy     atomic.Int64 // Asks queued and slots in use.
}

// loop handles the requests of the pool one after the other.
func (w *worker) loop() {
	t := time.NewTicker(queueTick)
	defer t.Stop()
	period := queueTick
	for {
		select {
		case <-w.quit:
			return
		case r := <-w.requests:
			now := time.Now()
			w.pool.Sync(now, w.maps.Load())
			w.handle(now, r)
		case now := <-t.C:
			w.pool.Sync(now, w.maps.Load())
			w.pool.Tick(now)
		}
		w.busy.Store(int64(w.pool.Waiting() + w.pool.Granted()))
		want := grantTick
		if w.pool.Waiting() > 0 {
			want = queueTick
		}
		if want != period {
			period = want
			t.Reset(period)
		}
	}
}

func (w *worker) probe(s *tracker.Server) { w.sample(w.pool.Key.Service, s.Address) }

func (w *worker) handle(now time.Time, r *request) {
	p := &w.pool
	switch r.op {
	case opAsk:
		p.Ask(now, r.ask)
	case opCancel:
		p.Cancel(now, r.ask.ID)
	case opDone:
		p.Done(now, r.ask.ID, r.figure.Result)
	case opKeep:
		p.Keep(now, r.ask.ID, r.figure.Result)
	case opUse:
		p.Use(now, r.ask.ID, r.ask.Rank, r.ask.Deadline)
	case opHeld:
		p.Held(now, r.ask.ID, r.server, r.ask.Rank, r.ask.Deadline)
	case opClose:
		p.Close(now, r.ask.Owner)
	case opObserve:
		p.Observe(now, r.server, r.figure)
	case opReset:
		p.Reset(now)
	case opStatus:
		r.status <- p.Status(now)
	}
}
