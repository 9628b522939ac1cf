package granter

import (
	"net/netip"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/route/mapper"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

type opcode uint8

const (
	opRequestSlot opcode = iota
	opCancelRequest
	opReleaseSlot
	opKeepSlot
	opUseKeptSlot
	opAddHeldSlot
	opCloseSession
	opRecordProbe
	opResetStale
	opStatus
)

// command is one message to the goroutine of a pool.
type command struct {
	op      opcode
	request Ask
	server  netip.AddrPort
	figure  tracker.Figure
	status  chan Status
}

const (
	// maxPendingCommands bounds the requests that wait for the goroutine of a pool.
	maxPendingCommands = 1024
	// queueTickPeriod is the resolution of deadlines in the queues.
	queueTickPeriod = 5 * time.Millisecond
	// grantTickPeriod is the resolution of the deadlines of grants.
	grantTickPeriod = 250 * time.Millisecond
)

// poolWorker runs one pool.
type poolWorker struct {
	pool        Pool
	maps        *mapper.Holder
	startProbe  func(service string, server netip.AddrPort)
	commands    chan *command
	quit        chan struct{}
	lastUsed    atomic.Int64 // Time of the last request in Unix nanoseconds.
	activeCount atomic.Int64 // Asks queued and slots in use.
}

// run handles the requests of the pool one after the other.
func (w *poolWorker) run() {
	t := time.NewTicker(queueTickPeriod)
	defer t.Stop()
	period := queueTickPeriod
	for {
		select {
		case <-w.quit:
			return
		case r := <-w.commands:
			now := time.Now()
			w.pool.Sync(now, w.maps.Load())
			w.execute(now, r)
		case now := <-t.C:
			w.pool.Sync(now, w.maps.Load())
			w.pool.Tick(now)
		}
		w.activeCount.Store(int64(w.pool.Waiting() + w.pool.Granted()))
		want := grantTickPeriod
		if w.pool.Waiting() > 0 {
			want = queueTickPeriod
		}
		if want != period {
			period = want
			t.Reset(period)
		}
	}
}

func (w *poolWorker) probeServer(s *tracker.Server) { w.startProbe(w.pool.Key.Service, s.Address) }

func (w *poolWorker) execute(now time.Time, r *command) {
	p := &w.pool
	switch r.op {
	case opRequestSlot:
		p.Ask(now, r.request)
	case opCancelRequest:
		p.Cancel(now, r.request.ID)
	case opReleaseSlot:
		p.Done(now, r.request.ID, r.figure.Result)
	case opKeepSlot:
		p.Keep(now, r.request.ID, r.figure.Result)
	case opUseKeptSlot:
		p.Use(now, r.request.ID, r.request.Rank, r.request.Deadline)
	case opAddHeldSlot:
		p.Held(now, r.request.ID, r.server, r.request.Rank, r.request.Deadline)
	case opCloseSession:
		p.Close(now, r.request.Owner)
	case opRecordProbe:
		p.Observe(now, r.server, r.figure)
	case opResetStale:
		p.Reset(now)
	case opStatus:
		r.status <- p.Status(now)
	}
}
