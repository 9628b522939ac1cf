package registrar

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

const (
	stepsPerPeriod     = 10       // Iterations of Run per heartbeat period.
	maxConcurrentDials = 8        // Limit of concurrent dials to members that are not heard.
	maxIncomingBytes   = 64 << 10 // Limit of an incoming control message; larger answers arrive on the stream of the request, not here.
	senderQueueLength  = 8        // Messages queued per neighbour.
)

// Run sends heartbeats, dials members that are not heard and, if there are
// seeds, exchanges rosters, until ctx is done.
func (r *Registrar) Run(ctx context.Context) error {
	r.initOnce.Do(r.init)
	ctx, cancel := context.WithCancel(ctx)
	defer r.tasks.Wait()
	defer cancel()
	if len(r.Seeds) > 0 {
		r.tasks.Add(1)
		go (&rosterExchanger{registrar: r}).run(ctx)
	}
	ticker := time.NewTicker(r.HeartbeatPeriod / stepsPerPeriod)
	defer ticker.Stop()
	schedule := HeartbeatSchedule{Period: r.HeartbeatPeriod}
	nextRedial := r.Clock().Add(r.RedialInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.sendNow:
			schedule.NextDue = time.Time{}
		case <-r.newsQueued:
		case <-ticker.C:
		}
		if r.PauseCheck != nil {
			r.PauseCheck()
		}
		now := r.Clock()
		r.updateTable((*Table).Tick)
		r.dialOverdue(ctx)
		if !now.Before(nextRedial) {
			nextRedial = now.Add(r.RedialInterval/2 + rand.N(r.RedialInterval))
			r.dialSilentMember(ctx)
		}
		if schedule.TakeDue(now, r.hasUnsentNews()) {
			r.sendHeartbeats(ctx)
		}
	}
}

// hasUnsentNews reports whether the table has news that no heartbeat has carried.
func (r *Registrar) hasUnsentNews() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.HasUnsentNews()
}

// sendHeartbeats recomputes the neighbours from the current members and queues a
// heartbeat for each.
func (r *Registrar) sendHeartbeats(ctx context.Context) {
	var m *messenger.Control
	r.updateTable(func(t *Table, now time.Time) {
		var onRings []Member
		for _, m := range t.Members(now) {
			if m.State == Alive || m.State == Leaving {
				onRings = append(onRings, m)
			}
		}
		neighbours := Neighbours(r.Name, onRings)
		t.SetNeighbours(now, neighbours)
		r.updateSenders(ctx, neighbours)
		r.sequence++
		m = FitHeartbeat(&messenger.Heartbeat{
			Name: r.Name, Incarnation: r.Incarnation, Sequence: r.sequence, Ready: r.ready, Leaving: r.leaving,
			Version: r.version, Gossip: t.TakeGossip(now),
		})
	})
	r.BroadcastToNeighbours(m)
}

// updateSenders starts and stops senders so that each neighbour has exactly one.
// It replaces the sender of a neighbour whose address has changed. The caller
// holds r.mu.
func (r *Registrar) updateSenders(ctx context.Context, neighbours []Member) {
	stale := make(map[string]bool, len(r.senders))
	for name := range r.senders {
		stale[name] = true
	}
	for _, m := range neighbours {
		if s := r.senders[m.Name]; s != nil && s.neighbour.PeerAddr == m.PeerAddr {
			delete(stale, m.Name)
			continue
		}
		if s := r.senders[m.Name]; s != nil {
			s.cancel()
		}
		delete(stale, m.Name)
		s := &sender{streamOpener: r.StreamOpener, neighbour: m, queue: make(chan *messenger.Control, senderQueueLength), reopen: make(chan struct{}, 1)}
		var senderCtx context.Context
		senderCtx, s.cancel = context.WithCancel(ctx)
		r.senders[m.Name] = s
		r.tasks.Add(1)
		go s.run(senderCtx, &r.tasks)
	}
	for name := range stale {
		r.senders[name].cancel()
		delete(r.senders, name)
	}
}

// BroadcastToNeighbours queues m for all neighbours without blocking. A
// neighbour whose queue is full does not get the message.
func (r *Registrar) BroadcastToNeighbours(m *messenger.Control) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.senders {
		select {
		case s.queue <- m:
		default:
		}
	}
}

// dialOverdue dials the neighbours whose heartbeats are overdue.
func (r *Registrar) dialOverdue(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.table.OverdueNeighbours(r.Clock()) {
		r.startDial(ctx, m)
	}
}

// dialSilentMember dials a random suspect or gone member. Such members are on no
// ring and receive no heartbeats, so only these dials reconnect the two sides
// after a network partition.
func (r *Registrar) dialSilentMember(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var silent []Member
	for _, m := range r.table.Members(r.Clock()) {
		if !m.Self && (m.State == Suspect || m.State == Gone) {
			silent = append(silent, m)
		}
	}
	if len(silent) > 0 {
		r.startDial(ctx, silent[rand.N(len(silent))])
	}
}

// startDial dials m in a new goroutine, unless a dial of m is in progress or
// maxConcurrentDials are. The caller holds r.mu.
func (r *Registrar) startDial(ctx context.Context, m Member) {
	if r.dialing[m.Name] || len(r.dialing) >= maxConcurrentDials {
		return
	}
	r.dialing[m.Name] = true
	r.tasks.Add(1)
	go r.dialMember(ctx, m)
}

// dialMember dials m and applies the result to the table.
func (r *Registrar) dialMember(ctx context.Context, m Member) {
	defer r.tasks.Done()
	from, err := r.StreamOpener.Redial(ctx, m.PeerAddr)
	r.updateTable(func(t *Table, now time.Time) {
		delete(r.dialing, m.Name)
		if ctx.Err() != nil {
			return
		}
		t.HandleDialResult(now, m, from, err)
		if s := r.senders[m.Name]; s != nil && err == nil {
			// The new session works, but the sender may still use a stream of a
			// broken one.
			signal(s.reopen)
		}
	})
}

// ServeStream handles the control messages that another instance sends on conn
// until a read fails or a roster cannot be answered. It also passes every
// message to the MessageHandlers.
func (r *Registrar) ServeStream(from connector.Hello, conn net.Conn) {
	r.initOnce.Do(r.init)
	in := bufio.NewReaderSize(conn, 512)
	reply := func(m *messenger.Control) error { return messenger.WriteMessage(conn, m) }
	for {
		m := new(messenger.Control)
		if err := messenger.ReadLimitedMessage(in, m, maxIncomingBytes); err != nil {
			if errors.Is(err, messenger.ErrInvalidMessage) {
				r.Audit.RecordChange(auditor.Change{
					Component: "fleet", Subject: "instance " + from.Name, Cause: err.Error(), Before: "control stream open", After: "refused",
				})
			}
			return
		}
		if h := m.GetHeartbeat(); h != nil {
			r.updateTable(func(t *Table, now time.Time) { t.HandleHeartbeat(now, from, h) })
		}
		if roster := m.GetRoster(); roster != nil {
			if err := r.answerRoster(roster, reply); err != nil {
				return
			}
		}
		for _, handler := range r.MessageHandlers {
			handler.HandleMessage(from, m, reply)
		}
	}
}
