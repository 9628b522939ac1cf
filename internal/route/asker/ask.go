package asker

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/route/granter"
)

// stage says how far a part has come.
type stage uint8

const (
	asked stage = iota
	queued
	refused
	broken // The stream to the home broke before a final reply.
	closed // Cancelled, or the winner.
)

// part is the request to the home of one pool, part of an ask to several.
type part struct {
	ask    *ask
	pool   pool
	number uint64
	home   home
	tried  []string
	sent   time.Time

	// Guarded by ask.mu.
	stage stage
	reply granter.Reply // Refusal.
}

var _ granter.Receiver = (*part)(nil)

func (p *part) id() granter.ID { return granter.ID{Owner: p, Number: p.number} }

// Receive takes the reply of the home on this instance.
func (p *part) Receive(r granter.Reply) { p.receive(&p.ask.asker.local, r) }

// receive takes a reply of h. A reply of a home that was given up is ignored.
func (p *part) receive(h home, r granter.Reply) {
	w := p.ask
	w.mu.Lock()
	if p.home == h && p.stage <= queued {
		switch r.Kind {
		case granter.Queued:
			p.stage = queued
		case granter.Refused:
			p.stage, p.reply = refused, r
		case granter.Offered:
			// An offer that is not the first stays open and is cancelled by finish.
			if w.winner == nil {
				w.winner, w.offer = p, r
			}
		}
	}
	w.mu.Unlock()
	w.signal()
}

// broke says that the stream to the home broke.
func (p *part) broke(h home) {
	w := p.ask
	w.mu.Lock()
	if p.home == h && p.stage <= queued && w.winner != p {
		p.stage = broken
	}
	w.mu.Unlock()
	w.signal()
}

// ask is a request for one slot to one or more homes.
type ask struct {
	asker  *Asker
	need   Need
	wake   chan struct{}
	spread bool // The other pools were asked.
	others []pool

	mu     sync.Mutex
	parts  []*part
	winner *part
	offer  granter.Reply
}

func (w *ask) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *ask) run(ctx context.Context) (*Slot, error) {
	first, others, ok := w.asker.groups(w.need.Service).candidates()
	if !ok {
		return nil, &Refusal{Reason: granter.None, After: time.Second}
	}
	w.others = others
	w.start(first)
	t := time.NewTimer(min(answerTimeout, time.Until(w.need.Deadline)))
	defer t.Stop()
	for {
		select {
		case <-w.wake:
			if s, err := w.step(); s != nil || err != nil {
				return s, err
			}
		case <-ctx.Done():
			return w.stop(ctx.Err())
		case <-t.C:
			left := time.Until(w.need.Deadline)
			if left <= 0 {
				return w.stop(context.DeadlineExceeded)
			}
			w.check()
			t.Reset(min(answerTimeout, left))
		}
	}
}

// start asks the home of p.
func (w *ask) start(p pool) {
	part := &part{ask: w, pool: p}
	w.mu.Lock()
	w.parts = append(w.parts, part)
	w.mu.Unlock()
	w.place(part)
}

// place asks the next home in order for part; the last is this instance.
func (w *ask) place(p *part) {
	for {
		name, h := w.asker.next(p.pool, p.tried)
		w.mu.Lock()
		p.number, p.home, p.stage, p.sent = w.asker.number.Add(1), h, asked, time.Now()
		w.mu.Unlock()
		p.tried = append(p.tried, name)
		if len(p.tried) == 1 {
			w.asker.placed(p.pool, name, h)
		}
		if h.ask(p) {
			return
		}
	}
}

// step looks at the replies so far and returns the slot or the refusal, or asks
// further homes and returns neither.
func (w *ask) step() (*Slot, error) {
	w.mu.Lock()
	winner := w.winner
	var again []*part
	open, moved := 0, false
	for _, p := range w.parts {
		switch p.stage {
		case broken:
			again = append(again, p)
		case queued, refused:
			moved = true
		}
		if p.stage <= queued {
			open++
		}
	}
	w.mu.Unlock()
	if winner != nil {
		return w.win(winner), nil
	}
	for _, p := range again {
		w.place(p)
	}
	if moved && !w.spread {
		w.spread = true
		for _, p := range w.others {
			w.start(p)
		}
		open += len(w.others)
	}
	if open+len(again) == 0 {
		return nil, w.refusal()
	}
	return nil, nil
}

// win makes the slot and cancels the other asks. When the stream to the home
// broke after the offer, the slot is reported to the next home.
func (w *ask) win(p *part) *Slot {
	w.finish(p)
	s := &Slot{
		Server: w.offer.Server, Home: p.tried[len(p.tried)-1], Pace: w.offer.Pace, Age: w.offer.Age,
		part: p, homes: []home{p.home},
	}
	if !p.home.hold(s) {
		s.lost(p.home.(*link))
	}
	return s
}

// finish cancels all parts but the winner. A cancel also gives back a slot that
// was granted meanwhile.
func (w *ask) finish(winner *part) {
	w.mu.Lock()
	var open []*part
	for _, p := range w.parts {
		if p != winner && p.stage <= queued {
			open = append(open, p)
		}
		p.stage = closed
	}
	w.mu.Unlock()
	for _, p := range open {
		p.home.cancel(p)
	}
}

func (w *ask) stop(err error) (*Slot, error) {
	w.finish(nil)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, &Refusal{Reason: granter.Late, After: time.Second}
	}
	return nil, &Refusal{Reason: "gone"}
}

// refusal joins the refusals of all homes: the shortest wait counts, and a pool
// without servers only when there is no other.
func (w *ask) refusal() *Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	var best *Refusal
	for _, p := range w.parts {
		r := &Refusal{Reason: p.reply.Reason, After: p.reply.After}
		switch {
		case best == nil, best.Reason == granter.None && r.Reason != granter.None:
			best = r
		case r.Reason != granter.None && r.After < best.After:
			best = r
		}
	}
	return best
}

// check gives up homes that have not answered at all.
func (w *ask) check() {
	w.mu.Lock()
	var late []*part
	for _, p := range w.parts {
		if p.stage == asked && time.Since(p.sent) >= answerTimeout {
			late = append(late, p)
		}
	}
	w.mu.Unlock()
	for _, p := range late {
		p.home.silent(time.Now().Add(-answerTimeout))
	}
}
