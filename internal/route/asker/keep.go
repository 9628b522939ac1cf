package asker

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/route/granter"
)

// kept is a slot that stays with this entry between two calls.
type kept struct {
	keeper *keeper
	slot   *Slot
	link   *link
	end    time.Time
	timer  *time.Timer
}

// keeper holds the kept slots of an entry.
type keeper struct {
	mu    sync.Mutex
	slots map[string][]*kept // By service, the newest last.
	usual map[string]float64 // EWMA of the latency of each service in nanoseconds.
}

const (
	// slowFactor is the multiple of the usual latency above which a slot is not
	// kept, so that a slow server is not used again without being chosen.
	slowFactor = 1.5
	usualGain  = 0.1
)

// usualLatency reports whether latency is usual for service, and learns it.
func (k *keeper) usualLatency(service string, latency time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.usual == nil {
		k.usual = make(map[string]float64)
	}
	u, l := k.usual[service], float64(latency)
	if u == 0 {
		u = l
	}
	k.usual[service] = u + usualGain*(l-u)
	return l <= slowFactor*u
}

// keep keeps the slot of a call that has ended, if the home allows it.
func (k *keeper) keep(s *Slot, r Result) bool {
	if r.Failed || r.Refused || r.Drain {
		k.drop(s.part.ask.need.Service, s.Server)
		return false
	}
	if r.Lost || len(s.homes) != 1 || s.part.ask.asker.Fresh {
		return false
	}
	l, ok := s.homes[0].(*link)
	if !ok || !k.usualLatency(s.part.ask.need.Service, r.Latency) {
		return false
	}
	e := &kept{keeper: k, slot: s, link: l, end: time.Now().Add(granter.KeepTime)}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !l.keep(e, r) {
		return false
	}
	if k.slots == nil {
		k.slots = make(map[string][]*kept)
	}
	service := s.part.ask.need.Service
	k.slots[service] = append(k.slots[service], e)
	e.timer = time.AfterFunc(granter.KeepTime, e.expire)
	return true
}

// drop gives back the kept slots of a server to which a call did not go well.
func (k *keeper) drop(service string, server netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := len(k.slots[service]) - 1; i >= 0; i-- {
		if e := k.slots[service][i]; e.slot.Server == server {
			e.remove(i)
			e.link.cancel(e.slot.part)
		}
	}
}

// take returns a kept slot for w, nil when there is none.
func (k *keeper) take(w *ask) *Slot {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := k.slots[w.need.Service]
	for i := len(all) - 1; i >= 0; i-- {
		e := all[i]
		if slices.Contains(w.need.Avoid, e.slot.Server) || !time.Now().Before(e.end) {
			continue
		}
		e.remove(i)
		if s := e.use(w); s != nil {
			return s
		}
		all = k.slots[w.need.Service]
	}
	return nil
}

// use makes the slot of the next call; it returns nil when the stream broke or
// the pool has moved to another home.
func (e *kept) use(w *ask) *Slot {
	before := e.slot.part
	if !w.asker.isHome(before.pool.key, e.link) {
		e.link.cancel(before)
		return nil
	}
	p := &part{ask: w, pool: before.pool, number: before.number, home: before.home, stage: closed}
	s := &Slot{Server: e.slot.Server, part: p, homes: []home{e.link}}
	if !e.link.use(s) {
		return nil
	}
	return s
}

// expire gives the slot back.
func (e *kept) expire() {
	e.keeper.mu.Lock()
	defer e.keeper.mu.Unlock()
	if i := slices.Index(e.keeper.slots[e.slot.part.ask.need.Service], e); i >= 0 {
		e.remove(i)
		e.link.cancel(e.slot.part)
	}
}

// remove removes e at index i of its service; keeper.mu is held.
func (e *kept) remove(i int) {
	service := e.slot.part.ask.need.Service
	e.timer.Stop()
	e.keeper.slots[service] = slices.Delete(e.keeper.slots[service], i, i+1)
}
