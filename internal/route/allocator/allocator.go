package allocator

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/tracker"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// Allocator makes this instance the home of the pools whose slots are requested
// from it: it owns their queues and slot counts. It can be used before Run is called; Run
// removes pools that are no longer used.
type Allocator struct {
	RoutingTable *router.TableHolder
	Audit        *auditor.Trail // nil discards the audit entries.
	IdleTimeout  time.Duration  // Time without requests after which a pool is removed; 0 means 1m.
	// StartProbe starts a probe of a backend server of a service and must not
	// block; its result is passed to RecordProbe. nil means that servers cannot
	// be probed.
	StartProbe func(service string, server netip.AddrPort, lifetime withholder.Lifetime)
	// ReportLoad reports whether replies carry the load of their pool, by which entries divide
	// calls between zones.
	ReportLoad func() bool
	// Withholder receives what entries report of leaving backend servers. RoutingTable
	// then shows these servers as leaving. It also says which servers want no probes
	// of this instance. nil ignores the reports and allows all probes.
	Withholder *withholder.Withholder
	// HoldLost reports whether calls without a result, such as those of a lost entry,
	// count as held until a load report of their server; nil means that they do not.
	HoldLost   func() bool
	Observer   Observer   // nil means that nothing is observed.
	ColdLimits ColdLimits // Limits the calls to cold servers.

	coldWithheld atomic.Uint64

	mu    sync.RWMutex
	pools map[PoolKey]*poolWorker
}

const defaultIdleTimeout = time.Minute

// Run removes idle pools until ctx is done, then stops all pools. It returns
// nil.
func (al *Allocator) Run(ctx context.Context) error {
	idle := al.IdleTimeout
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	t := time.NewTicker(idle / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			al.stopIdlePools(time.Now(), 0)
			return nil
		case now := <-t.C:
			al.stopIdlePools(now, idle)
		}
	}
}

// stopIdlePools stops the pools that have not been used for longer than idle and
// have no queued requests or granted slots. An idle of 0 stops all pools.
func (al *Allocator) stopIdlePools(now time.Time, idle time.Duration) {
	al.mu.Lock()
	defer al.mu.Unlock()
	for k, w := range al.pools {
		// No command is about to be sent: senders hold al.mu while they send.
		if idle == 0 || now.Sub(time.Unix(0, w.lastUsed.Load())) > idle && len(w.commands) == 0 && w.activeCount.Load() == 0 {
			close(w.quit)
			delete(al.pools, k)
		}
	}
}

// RequestSlot requests a slot of pool k. The replies go to the owner of a.
func (al *Allocator) RequestSlot(k PoolKey, req SlotRequest) {
	al.sendToPool(k, &command{op: opRequestSlot, request: req})
}

// CancelRequest withdraws a slot request. If its slot has been granted in the
// meantime, the slot is released.
func (al *Allocator) CancelRequest(k PoolKey, id ID) {
	al.sendToPool(k, &command{op: opCancelRequest, request: SlotRequest{ID: id}})
}

// ReleaseSlot releases a slot and records the result of its call.
func (al *Allocator) ReleaseSlot(k PoolKey, id ID, r tracker.Result) {
	al.sendToPool(k, &command{op: opReleaseSlot, request: SlotRequest{ID: id}, result: tracker.ProbeResult{Result: r}})
}

// MarkSilent records that the call on a slot has gone without an answer for much longer
// than its route takes.
func (al *Allocator) MarkSilent(k PoolKey, id ID) {
	al.sendToPool(k, &command{op: opMarkSilent, request: SlotRequest{ID: id}})
}

// KeepSlot records the result of a call whose slot the entry keeps for its next
// call.
func (al *Allocator) KeepSlot(k PoolKey, id ID, r tracker.Result) {
	al.sendToPool(k, &command{op: opKeepSlot, request: SlotRequest{ID: id}, result: tracker.ProbeResult{Result: r}})
}

// UseKeptSlot records that the entry started another call on a kept slot.
func (al *Allocator) UseKeptSlot(k PoolKey, id ID, rank parser.Rank, deadline time.Time) {
	al.sendToPool(k, &command{op: opUseKeptSlot, request: SlotRequest{ID: id, Rank: rank, Deadline: deadline}})
}

// AddHeldSlot counts a slot as in use that another home granted, for example before
// this instance became the home of the pool.
func (al *Allocator) AddHeldSlot(k PoolKey, id ID, server netip.AddrPort, rank parser.Rank, deadline time.Time) {
	al.sendToPool(k, &command{op: opAddHeldSlot, request: SlotRequest{ID: id, Rank: rank, Deadline: deadline}, server: server})
}

// RecordProbe records the result of a probe of a backend server of service. It has
// no effect on pools for which this instance is not the home.
func (al *Allocator) RecordProbe(service string, server netip.AddrPort, r tracker.ProbeResult) {
	al.sendToPools(func(k PoolKey) bool { return k.Service == service }, func() *command {
		return &command{op: opRecordProbe, server: server, result: r}
	})
}

// ResetStale discards outdated measurements of all pools after the process was
// paused.
func (al *Allocator) ResetStale() {
	al.sendToPools(nil, func() *command { return &command{op: opResetStaleMeasurements} })
}

// ApplyTable makes all pools apply the current routing table at once.
func (al *Allocator) ApplyTable() {
	al.sendToPools(nil, func() *command { return &command{op: opApplyTable} })
}

// close removes the queued requests and grants of owner from the pools in keys.
func (al *Allocator) close(owner ReplyReceiver, keys map[PoolKey]bool) {
	al.sendToPools(func(k PoolKey) bool { return keys[k] }, func() *command {
		return &command{op: opCloseSession, request: SlotRequest{ID: ID{Owner: owner}}}
	})
}

// sendToPools sends a command to each existing pool for which match returns
// true; a nil match selects all pools.
func (al *Allocator) sendToPools(match func(PoolKey) bool, build func() *command) {
	al.mu.RLock()
	defer al.mu.RUnlock()
	for k, w := range al.pools {
		if match == nil || match(k) {
			w.commands <- build()
		}
	}
}

// sendToPool sends cmd to pool k and creates the pool if it does not exist. It
// blocks while the command channel of the pool is full.
func (al *Allocator) sendToPool(k PoolKey, cmd *command) {
	for {
		al.mu.RLock()
		if w := al.pools[k]; w != nil {
			w.lastUsed.Store(time.Now().UnixNano())
			w.commands <- cmd
			al.mu.RUnlock()
			return
		}
		al.mu.RUnlock()
		al.createPool(k)
	}
}

func (al *Allocator) createPool(k PoolKey) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if al.pools[k] != nil {
		return
	}
	if al.pools == nil {
		al.pools = make(map[PoolKey]*poolWorker)
	}
	w := &poolWorker{
		pool: Pool{Key: k, Audit: al.Audit, Observer: al.Observer, HoldLost: al.HoldLost, ReportLoad: al.ReportLoad, ColdLimits: al.ColdLimits, cold: coldState{withheld: &al.coldWithheld}}, routingTable: al.RoutingTable, startProbe: al.StartProbe, withholder: al.Withholder,
		commands: make(chan *command, maxPendingCommands), quit: make(chan struct{}),
	}
	if al.StartProbe != nil {
		w.pool.StartProbe, w.pool.MayProbe = w.probeServer, w.mayProbeServer
	}
	w.lastUsed.Store(time.Now().UnixNano())
	al.pools[k] = w
	go w.run()
}
