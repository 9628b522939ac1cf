package registrar

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

const (
	steps     = 10       // Steps of Run in one period of heartbeats.
	maxChecks = 8        // Concurrent dials of silent members.
	maxIn     = 64 << 10 // Largest incoming control message; large answers come on streams of the asker.
	maxQueue  = 8        // Messages that wait for one neighbour.
)

// Run sends heartbeats and dials silent members until ctx is done.
func (r *Registrar) Run(ctx context.Context) error {
	r.once.Do(r.init)
	ctx, cancel := context.WithCancel(ctx)
	defer r.tasks.Wait()
	defer cancel()
	if len(r.Seeds) > 0 {
		r.tasks.Add(1)
		go (&joiner{r}).loop(ctx)
	}
	tick := time.NewTicker(r.Period / steps)
	defer tick.Stop()
	beats := Beats{Period: r.Period}
	recheck := r.Clock().Add(r.Recheck)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.kick:
			beats.Next = time.Time{}
		case <-r.wake:
		case <-tick.C:
		}
		if r.Check != nil {
			r.Check()
		}
		now := r.Clock()
		r.update((*Table).Tick)
		r.check(ctx)
		if !now.Before(recheck) {
			recheck = now.Add(r.Recheck/2 + rand.N(r.Recheck))
			r.recheck(ctx)
		}
		if beats.Due(now, r.fresh()) {
			r.beat(ctx)
		}
	}
}

func (r *Registrar) fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Fresh()
}

// beat sends a heartbeat to each neighbour.
func (r *Registrar) beat(ctx context.Context) {
	var m *messenger.Control
	r.update(func(t *Table, now time.Time) {
		var ring []Member
		for _, m := range t.Members(now) {
			if m.State == Alive || m.State == Leaving {
				ring = append(ring, m)
			}
		}
		neighbours := Neighbours(r.Name, ring)
		t.Watch(now, neighbours)
		r.connect(ctx, neighbours)
		r.sequence++
		m = Fit(&messenger.Heartbeat{
			Name: r.Name, Incarnation: r.Incarnation, Sequence: r.sequence, Ready: r.ready, Leaving: r.leaving,
			Version: r.version, Gossip: t.Gossip(now),
		})
	})
	r.Broadcast(m)
}

// connect starts and stops senders so that there is one for each neighbour. The
// caller holds r.mu.
func (r *Registrar) connect(ctx context.Context, neighbours []Member) {
	stale := make(map[string]bool, len(r.senders))
	for name := range r.senders {
		stale[name] = true
	}
	for _, m := range neighbours {
		if s := r.senders[m.Name]; s != nil && s.to.Peer == m.Peer {
			delete(stale, m.Name)
			continue
		}
		if s := r.senders[m.Name]; s != nil {
			s.cancel()
		}
		delete(stale, m.Name)
		s := &sender{links: r.Links, to: m, queue: make(chan *messenger.Control, maxQueue), reset: make(chan struct{}, 1)}
		var sub context.Context
		sub, s.cancel = context.WithCancel(ctx)
		r.senders[m.Name] = s
		r.tasks.Add(1)
		go s.loop(sub, &r.tasks)
	}
	for name := range stale {
		r.senders[name].cancel()
		delete(r.senders, name)
	}
}

// Broadcast sends m to all neighbours. It drops the message for a neighbour
// whose queue is full.
func (r *Registrar) Broadcast(m *messenger.Control) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.senders {
		select {
		case s.queue <- m:
		default:
		}
	}
}

// check dials the neighbours whose heartbeats are missing.
func (r *Registrar) check(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.table.Due(r.Clock()) {
		r.dial(ctx, m)
	}
}

// recheck dials a random silent member. Silent members are on no ring, so after
// a partition this is what makes the sides hear each other again.
func (r *Registrar) recheck(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var silent []Member
	for _, m := range r.table.Members(r.Clock()) {
		if !m.Self && (m.State == Suspect || m.State == Gone) {
			silent = append(silent, m)
		}
	}
	if len(silent) > 0 {
		r.dial(ctx, silent[rand.N(len(silent))])
	}
}

// dial starts a dial of m unless one is in progress. The caller holds r.mu.
func (r *Registrar) dial(ctx context.Context, m Member) {
	if r.checks[m.Name] || len(r.checks) >= maxChecks {
		return
	}
	r.checks[m.Name] = true
	r.tasks.Add(1)
	go r.run(ctx, m)
}

// run dials m and takes the result into the table.
func (r *Registrar) run(ctx context.Context, m Member) {
	defer r.tasks.Done()
	from, err := r.Links.Redial(ctx, m.Peer)
	r.update(func(t *Table, now time.Time) {
		delete(r.checks, m.Name)
		if ctx.Err() != nil {
			return
		}
		t.Dialed(now, m, from, err)
		if s := r.senders[m.Name]; s != nil && err == nil {
			// The stream in use may be the silent one.
			signal(s.reset)
		}
	})
}

// Serve takes the control messages of one stream from another instance.
func (r *Registrar) Serve(from linker.Hello, conn net.Conn) {
	r.once.Do(r.init)
	in := bufio.NewReaderSize(conn, 512)
	reply := func(m *messenger.Control) error { return messenger.Write(conn, m) }
	for {
		m := new(messenger.Control)
		if err := messenger.ReadLimit(in, m, maxIn); err != nil {
			if errors.Is(err, messenger.ErrFrame) {
				r.Audit.Note(auditor.Change{
					Part: "fleet", Subject: "instance " + from.Name, Cause: err.Error(), Before: "control stream open", After: "refused",
				})
			}
			return
		}
		if h := m.GetHeartbeat(); h != nil {
			r.update(func(t *Table, now time.Time) { t.Hear(now, from, h) })
		}
		if l := m.GetRoster(); l != nil && !l.GetReply() {
			r.meet(l)
			if err := reply(r.rosterMessage(true)); err != nil {
				return
			}
		}
		for _, v := range r.Receivers {
			v.Receive(from, m, reply)
		}
	}
}
