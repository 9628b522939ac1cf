package acquirer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// askState is the state of a poolAsk. The states up to stateQueued are open: the
// home may still grant a slot.
type askState uint8

const (
	stateSent askState = iota
	stateQueued
	stateRefused
	stateStreamBroken // The stream to the home broke before a final reply.
	stateClosed       // The acquisition accepted an offer or was aborted.
)

// poolAsk is one ask to the home of one pool. It is sent again under a new number,
// to the next home, when the stream to the home breaks.
type poolAsk struct {
	acquisition *acquisition
	pool        pool
	number      uint64
	home        home
	extra       bool     // The call asked another pool first; used to divide calls between zones.
	triedHomes  []string // Names of the homes to which the ask was sent, or that could not be reached.
	sentAt      time.Time

	// Guarded by acquisition.mu.
	state   askState
	refusal allocator.Reply // Valid in stateRefused.
}

var _ allocator.ReplyReceiver = (*poolAsk)(nil)

func (p *poolAsk) id() allocator.ID { return allocator.ID{Owner: p, Number: p.number} }

// ReceiveReply handles a reply of the home on this instance. It implements
// allocator.ReplyReceiver.
func (p *poolAsk) ReceiveReply(r allocator.Reply) { p.receiveFrom(&p.acquisition.client.localHome, r) }

// receiveFrom handles a reply of h. It ignores h when the ask has gone to another home.
func (p *poolAsk) receiveFrom(h home, r allocator.Reply) {
	a := p.acquisition
	a.client.observeReply(p, h, r)
	a.mu.Lock()
	if p.home == h && p.state <= stateQueued {
		switch r.Kind {
		case allocator.ReplyQueued:
			p.state = stateQueued
		case allocator.ReplyRefused:
			p.state, p.refusal = stateRefused, r
		case allocator.ReplyOffered:
			// Any later offer leaves its ask open, so that closeAsks cancels it, which
			// gives its slot back.
			if a.accepted == nil {
				a.accepted, a.offer = p, r
			}
		}
	}
	a.mu.Unlock()
	a.notify()
}

// streamBroke records that the stream to h broke before an offer was accepted.
func (p *poolAsk) streamBroke(h home) {
	a := p.acquisition
	a.mu.Lock()
	if p.home == h && p.state <= stateQueued && a.accepted != p {
		p.state = stateStreamBroken
	}
	a.mu.Unlock()
	a.client.failPool(p.pool.key)
	a.notify()
}

// acquisition is one call of Acquire. It asks the homes of one or more pools and
// accepts the first offer.
type acquisition struct {
	client     *Client
	request    Request
	wake       chan struct{}    // Signals awaitSlot that an ask has changed; has a buffer of 1.
	otherPools []pool           // Pools that may be asked once the first has no free slot.
	recheck    <-chan time.Time // Signals awaitSlot that more of otherPools may be worth asking.
	overdue    bool             // The first pool, in another zone, has not replied in time or its stream broke.

	mu       sync.Mutex
	asks     []*poolAsk
	accepted *poolAsk // Ask with the first offer.
	offer    allocator.Reply
}

// notify wakes awaitSlot without blocking.
func (a *acquisition) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// awaitSlot asks the first pool and returns when there is a slot, all homes have
// refused, the deadline has passed or ctx is done.
func (a *acquisition) awaitSlot(ctx context.Context) (*Slot, error) {
	statements := a.client.Withholder.Changed()
	if !a.askNearestPool() {
		return nil, &Refusal{Reason: allocator.ReasonNone, RetryAfter: time.Second}
	}
	t := time.NewTimer(min(replyTimeout, time.Until(a.request.Deadline)))
	defer t.Stop()
	for {
		if a.client.Withholder.HasStatements() && !a.hasUsableServer() {
			return nil, a.refuseWithheld()
		}
		select {
		case <-statements:
			statements = a.client.Withholder.Changed()
			a.leaveEvacuatedPools()
		case <-a.recheck:
			a.handleRecheck()
			if s, err := a.processReplies(); s != nil || err != nil {
				return s, err
			}
		case <-a.wake:
			if s, err := a.processReplies(); s != nil || err != nil {
				return s, err
			}
		case <-ctx.Done():
			return a.abort(ctx.Err())
		case <-t.C:
			left := time.Until(a.request.Deadline)
			if left <= 0 {
				return a.abort(context.DeadlineExceeded)
			}
			a.failSilentHomes()
			t.Reset(min(replyTimeout, left))
		}
	}
}

// askNearestPool asks the first of the pools that the call may use and records the others.
// It returns false if there are none.
func (a *acquisition) askNearestPool() bool {
	first, others, ok := a.client.choosePools(&a.request)
	if ok {
		a.otherPools, a.overdue = others, false
		a.askPool(first)
		a.watchReplyFromOutside(first)
	}
	return ok
}

// askPool requests a slot from the home of pool to.
func (a *acquisition) askPool(to pool) {
	p := &poolAsk{acquisition: a, pool: to}
	a.client.countAsk(to.key)
	a.mu.Lock()
	p.extra = a.client.activeBalancer() != nil && (len(a.asks) > 0 || a.request.Hedge)
	a.asks = append(a.asks, p)
	a.mu.Unlock()
	a.askNextHome(p)
}

// askNextHome sends p to the next home of its pool in rendezvous order that can be
// reached. When no other is left, this is the home on this instance.
func (a *acquisition) askNextHome(p *poolAsk) {
	for {
		name, h := a.client.nextHome(p.pool, p.triedHomes)
		a.mu.Lock()
		p.number, p.home, p.state, p.sentAt = a.client.lastNumber.Add(1), h, stateSent, time.Now()
		a.mu.Unlock()
		p.triedHomes = append(p.triedHomes, name)
		if len(p.triedHomes) == 1 {
			a.client.updateHome(p.pool, name, h)
		}
		if h.sendAsk(p) {
			return
		}
		a.client.failPool(p.pool.key)
	}
}

// processReplies returns the slot when there is an offer, and the refusal when no
// ask is open. Otherwise it returns neither: it repeats the asks whose streams
// broke, and asks other pools once a home has queued or refused an ask. A hedge
// is not worth the traffic between zones, so it asks the first pool alone, and is
// withdrawn if a home of an earlier version queues it.
func (a *acquisition) processReplies() (*Slot, error) {
	a.mu.Lock()
	accepted := a.accepted
	var interrupted []*poolAsk
	open, replied, queued := 0, false, false
	for _, p := range a.asks {
		switch p.state {
		case stateStreamBroken:
			interrupted = append(interrupted, p)
		case stateQueued, stateRefused:
			replied, queued = true, queued || p.state == stateQueued
		}
		if p.state <= stateQueued {
			open++
		}
	}
	a.mu.Unlock()
	if accepted != nil {
		return a.accept(accepted), nil
	}
	if a.request.Hedge && queued {
		a.closeAsks(nil)
		return nil, &Refusal{Reason: allocator.ReasonFull, RetryAfter: hedgeRetryAfter}
	}
	for _, p := range interrupted {
		a.overdue = a.overdue || a.client.isOutside(p.pool)
		a.askNextHome(p)
	}
	if (replied || a.overdue) && !a.request.Hedge {
		open += a.askOthers()
	}
	if open+len(interrupted) == 0 {
		return nil, a.combinedRefusal()
	}
	return nil, nil
}

// hedgeRetryAfter is the RetryAfter of a hedge that was withdrawn. It is never repeated.
const hedgeRetryAfter = time.Second

// accept returns the offered slot of p and cancels the other asks. If the stream to
// the home broke after the offer, it reports the slot to the next home.
func (a *acquisition) accept(p *poolAsk) *Slot {
	a.closeAsks(p)
	s := &Slot{
		Server: a.offer.Server, Home: p.triedHomes[len(p.triedHomes)-1], Slowdown: a.offer.Slowdown, SlowdownAge: a.offer.SlowdownAge,
		Lifetime: withholder.Lifetime{Name: a.offer.Name, ProcessStart: a.offer.ProcessStart},
		ask:      p, homes: []home{p.home},
	}
	if a.offer.Cold {
		s.SendBy = p.sentAt.Add(a.offer.Wait + allocator.MaxColdDelay)
	}
	if !p.home.trackSlot(s) {
		s.replaceHome(p.home.(*grantStream))
	}
	return s
}

// closeAsks cancels the open asks except accepted, which may be nil. Cancelling an
// ask also gives back a slot that was granted meanwhile.
func (a *acquisition) closeAsks(accepted *poolAsk) {
	a.mu.Lock()
	var open []*poolAsk
	for _, p := range a.asks {
		if p != accepted && p.state <= stateQueued {
			open = append(open, p)
		}
		p.state = stateClosed
	}
	a.mu.Unlock()
	for _, p := range open {
		p.home.cancelAsk(p)
	}
}

// abort cancels all asks and returns the refusal for err, the reason for the end of
// the wait.
func (a *acquisition) abort(err error) (*Slot, error) {
	a.closeAsks(nil)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, &Refusal{Reason: allocator.ReasonLate, RetryAfter: time.Second}
	}
	return nil, &Refusal{Reason: "gone"}
}

// combinedRefusal returns the refusal with the shortest wait. A refusal for lack of
// backend servers counts only when all refusals have this reason.
func (a *acquisition) combinedRefusal() *Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	var best *Refusal
	for _, p := range a.asks {
		r := &Refusal{Reason: p.refusal.Reason, RetryAfter: p.refusal.RetryAfter}
		switch {
		case best == nil, best.Reason == allocator.ReasonNone && r.Reason != allocator.ReasonNone:
			best = r
		case r.Reason != allocator.ReasonNone && r.RetryAfter < best.RetryAfter:
			best = r
		}
	}
	return best
}

// failSilentHomes fails the streams on which an ask got no reply and nothing
// else arrived within replyTimeout; their asks then go to other homes.
func (a *acquisition) failSilentHomes() {
	a.mu.Lock()
	var silent []*poolAsk
	for _, p := range a.asks {
		if p.state == stateSent && time.Since(p.sentAt) >= replyTimeout {
			silent = append(silent, p)
		}
	}
	a.mu.Unlock()
	for _, p := range silent {
		p.home.failIfSilent(time.Now().Add(-replyTimeout))
	}
}
