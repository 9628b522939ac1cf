package asker

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/route/granter"
)

// askState says how far a part has come.
type askState uint8

const (
	stateSent askState = iota
	stateQueued
	stateRefused
	stateStreamBroken // The stream to the home broke before a final reply.
	stateClosed       // Cancelled, or the winner.
)

// poolAsk is the request to the home of one pool, part of an ask to several.
type poolAsk struct {
	acquisition *acquisition
	pool        pool
	number      uint64
	home        home
	triedHomes  []string
	sentAt      time.Time

	// Guarded by ask.mu.
	state   askState
	refusal granter.Reply // Refusal.
}

var _ granter.Receiver = (*poolAsk)(nil)

func (p *poolAsk) id() granter.ID { return granter.ID{Owner: p, Number: p.number} }

// Receive takes the reply of the home on this instance.
func (p *poolAsk) Receive(r granter.Reply) { p.receiveFrom(&p.acquisition.client.localHome, r) }

// receiveFrom takes a reply of h. A reply of a home that was given up is ignored.
func (p *poolAsk) receiveFrom(h home, r granter.Reply) {
	a := p.acquisition
	a.mu.Lock()
	if p.home == h && p.state <= stateQueued {
		switch r.Kind {
		case granter.Queued:
			p.state = stateQueued
		case granter.Refused:
			p.state, p.refusal = stateRefused, r
		case granter.Offered:
			// An offer that is not the first stays open and is cancelled by finish.
			if a.accepted == nil {
				a.accepted, a.offer = p, r
			}
		}
	}
	a.mu.Unlock()
	a.notify()
}

// streamBroke says that the stream to the home broke.
func (p *poolAsk) streamBroke(h home) {
	a := p.acquisition
	a.mu.Lock()
	if p.home == h && p.state <= stateQueued && a.accepted != p {
		p.state = stateStreamBroken
	}
	a.mu.Unlock()
	a.notify()
}

// acquisition is a request for one slot to one or more homes.
type acquisition struct {
	client      *Asker
	request     Need
	wake        chan struct{}
	othersAsked bool // The other pools were asked.
	otherPools  []pool

	mu       sync.Mutex
	asks     []*poolAsk
	accepted *poolAsk
	offer    granter.Reply
}

func (a *acquisition) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *acquisition) awaitSlot(ctx context.Context) (*Slot, error) {
	first, others, ok := a.client.poolsOf(a.request.Service).choosePools()
	if !ok {
		return nil, &Refusal{Reason: granter.None, After: time.Second}
	}
	a.otherPools = others
	a.askPool(first)
	t := time.NewTimer(min(answerTimeout, time.Until(a.request.Deadline)))
	defer t.Stop()
	for {
		select {
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
			t.Reset(min(answerTimeout, left))
		}
	}
}

// askPool asks the home of p.
func (a *acquisition) askPool(to pool) {
	p := &poolAsk{acquisition: a, pool: to}
	a.mu.Lock()
	a.asks = append(a.asks, p)
	a.mu.Unlock()
	a.askNextHome(p)
}

// askNextHome asks the next home in order for part; the last is this instance.
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
	}
}

// processReplies looks at the replies so far and returns the slot or the refusal, or asks
// further homes and returns neither.
func (a *acquisition) processReplies() (*Slot, error) {
	a.mu.Lock()
	accepted := a.accepted
	var interrupted []*poolAsk
	open, replied := 0, false
	for _, p := range a.asks {
		switch p.state {
		case stateStreamBroken:
			interrupted = append(interrupted, p)
		case stateQueued, stateRefused:
			replied = true
		}
		if p.state <= stateQueued {
			open++
		}
	}
	a.mu.Unlock()
	if accepted != nil {
		return a.accept(accepted), nil
	}
	for _, p := range interrupted {
		a.askNextHome(p)
	}
	if replied && !a.othersAsked {
		a.othersAsked = true
		for _, p := range a.otherPools {
			a.askPool(p)
		}
		open += len(a.otherPools)
	}
	if open+len(interrupted) == 0 {
		return nil, a.combinedRefusal()
	}
	return nil, nil
}

// accept makes the slot and cancels the other asks. When the stream to the home
// broke after the offer, the slot is reported to the next home.
func (a *acquisition) accept(p *poolAsk) *Slot {
	a.closeAsks(p)
	s := &Slot{
		Server: a.offer.Server, Home: p.triedHomes[len(p.triedHomes)-1], Pace: a.offer.Pace, Age: a.offer.Age,
		ask: p, homes: []home{p.home},
	}
	if !p.home.trackSlot(s) {
		s.replaceHome(p.home.(*grantStream))
	}
	return s
}

// closeAsks cancels all parts but the winner. A cancel also gives back a slot that
// was granted meanwhile.
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

func (a *acquisition) abort(err error) (*Slot, error) {
	a.closeAsks(nil)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, &Refusal{Reason: granter.Late, After: time.Second}
	}
	return nil, &Refusal{Reason: "gone"}
}

// combinedRefusal joins the refusals of all homes: the shortest wait counts, and a pool
// without servers only when there is no other.
func (a *acquisition) combinedRefusal() *Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	var best *Refusal
	for _, p := range a.asks {
		r := &Refusal{Reason: p.refusal.Reason, After: p.refusal.After}
		switch {
		case best == nil, best.Reason == granter.None && r.Reason != granter.None:
			best = r
		case r.Reason != granter.None && r.After < best.After:
			best = r
		}
	}
	return best
}

// failSilentHomes gives up homes that have not answered at all.
func (a *acquisition) failSilentHomes() {
	a.mu.Lock()
	var silent []*poolAsk
	for _, p := range a.asks {
		if p.state == stateSent && time.Since(p.sentAt) >= answerTimeout {
			silent = append(silent, p)
		}
	}
	a.mu.Unlock()
	for _, p := range silent {
		p.home.failIfSilent(time.Now().Add(-answerTimeout))
	}
}
