package allocator

import (
	"net/netip"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/flow/recoverer"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/tracker"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// opcode selects the method of Pool that a command calls.
type opcode uint8

const (
	opRequestSlot opcode = iota
	opCancelRequest
	opReleaseSlot
	opMarkSilent
	opKeepSlot
	opUseKeptSlot
	opAddHeldSlot
	opCloseSession
	opRecordProbe
	opResetStaleMeasurements
	opStatus
	opApplyTable // Each command applies the table first; this one does nothing else.
)

// command is a message to the goroutine of a pool.
type command struct {
	op      opcode
	request SlotRequest
	server  netip.AddrPort
	result  tracker.ProbeResult // Result of a probe, or of a call, which uses only Result.
	status  chan PoolStatus
}

const (
	// maxPendingCommands limits the commands that wait for the goroutine of a
	// pool.
	maxPendingCommands = 1024
	// queueTickPeriod is the time between ticks while requests are queued,
	// which is the accuracy of their deadlines.
	queueTickPeriod = 5 * time.Millisecond
	// grantTickPeriod is the time between ticks while no request is queued,
	// which is the accuracy of the deadlines of grants.
	grantTickPeriod = 250 * time.Millisecond
)

// poolWorker runs one pool in a goroutine of its own.
type poolWorker struct {
	pool         Pool
	routingTable *router.TableHolder
	startProbe   func(service string, server netip.AddrPort, lifetime withholder.Lifetime)
	withholder   *withholder.Withholder
	commands     chan *command
	quit         chan struct{}
	lastUsed     atomic.Int64 // Time of the last command, in Unix nanoseconds.
	activeCount  atomic.Int64 // Queued requests plus granted slots.
	coldCount    atomic.Int64 // Cold servers.
}

// run handles the commands of the pool one at a time until quit is closed.
func (w *poolWorker) run() {
	t := time.NewTicker(queueTickPeriod)
	defer t.Stop()
	period := queueTickPeriod
	for {
		select {
		case <-w.quit:
			return
		case cmd := <-w.commands:
			w.execute(time.Now(), cmd)
		case now := <-t.C:
			w.tick(now)
		}
		w.activeCount.Store(int64(w.pool.QueuedCount() + w.pool.GrantedCount()))
		w.coldCount.Store(int64(w.pool.ColdServers()))
		want := grantTickPeriod
		if w.pool.QueuedCount() > 0 {
			want = queueTickPeriod
		}
		if want != period {
			period = want
			t.Reset(period)
		}
	}
}

func (w *poolWorker) probeServer(s *tracker.Server) {
	w.startProbe(w.pool.Key.Service, s.Address, lifetimeOf(s))
}

func (w *poolWorker) mayProbeServer(now time.Time, s *tracker.Server) bool {
	return !w.withholder.IsWithheld(now, lifetimeOf(s))
}

func lifetimeOf(s *tracker.Server) withholder.Lifetime {
	return withholder.Lifetime{Name: s.Name, ProcessStart: s.ProcessStart}
}

// tick runs what is due. A panic ends this tick alone.
func (w *poolWorker) tick(now time.Time) {
	defer recoverer.Catch("tick of pool "+w.pool.Key.String(), nil)
	w.pool.ApplyTable(now, w.routingTable.Load())
	w.pool.Tick(now)
}

// execute runs one command. A panic ends this command alone.
func (w *poolWorker) execute(now time.Time, cmd *command) {
	defer recoverer.Catch("command of pool "+w.pool.Key.String(), nil)
	p := &w.pool
	p.ApplyTable(now, w.routingTable.Load())
	switch cmd.op {
	case opRequestSlot:
		p.RequestSlot(now, cmd.request)
	case opCancelRequest:
		p.CancelRequest(now, cmd.request.ID)
	case opReleaseSlot:
		p.ReleaseSlot(now, cmd.request.ID, cmd.result.Result)
	case opMarkSilent:
		p.MarkSilent(now, cmd.request.ID)
	case opKeepSlot:
		p.KeepSlot(now, cmd.request.ID, cmd.result.Result)
	case opUseKeptSlot:
		p.UseKeptSlot(now, cmd.request.ID, cmd.request.Rank, cmd.request.Deadline)
	case opAddHeldSlot:
		p.AddHeldSlot(now, cmd.request.ID, cmd.server, cmd.request.Rank, cmd.request.Deadline)
	case opCloseSession:
		p.CloseSession(now, cmd.request.Owner)
	case opRecordProbe:
		p.RecordProbe(now, cmd.server, cmd.result)
	case opResetStaleMeasurements:
		p.ResetStale(now)
	case opStatus:
		cmd.status <- p.Status(now)
	}
}
