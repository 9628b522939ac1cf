package asker

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/route/granter"
)

// link is the grant stream to a home on another instance. It serves until it
// breaks and is then replaced by a new one.
type link struct {
	asker *Asker
	name  string
	peer  netip.AddrPort
	out   granter.Outbox

	mu     sync.Mutex
	parts  map[uint64]*part // Asks that have no final reply yet.
	slots  map[uint64]*Slot
	kept   map[uint64]*kept
	spare  map[granter.Key]bool // Pools whose slots may be kept, by the last word of the home.
	heard  time.Time
	broken bool
	conn   net.Conn
}

func newLink(a *Asker, m registrar.Member) *link {
	return &link{
		asker: a, name: m.Name, peer: m.Peer, parts: make(map[uint64]*part), slots: make(map[uint64]*Slot),
		kept: make(map[uint64]*kept), spare: make(map[granter.Key]bool),
	}
}

// openTimeout bounds the opening of a stream; a home that takes longer counts as unreachable.
const openTimeout = 500 * time.Millisecond

// run opens the stream and reads the replies of the home until the stream breaks.
func (l *link) run() {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	conn, err := l.asker.Links.Open(ctx, l.peer, linker.Grant)
	cancel()
	if err == nil && l.opened(conn) {
		go l.write(conn)
		err = l.read(conn)
	}
	if conn != nil {
		_ = conn.Close()
	}
	l.fail(err)
}

func (l *link) opened(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	return !l.broken
}

func (l *link) write(conn net.Conn) {
	_ = l.out.Copy(conn)
	_ = conn.Close()
}

func (l *link) read(conn net.Conn) error {
	r := bufio.NewReaderSize(conn, 32<<10)
	for {
		m := new(messenger.Grant)
		if err := messenger.Read(r, m); err != nil {
			return err
		}
		if err := l.handle(m); err != nil {
			return err
		}
	}
}

func (l *link) handle(m *messenger.Grant) error {
	reply, ok, err := decode(m)
	if err != nil || !ok {
		return err
	}
	l.mu.Lock()
	l.heard = time.Now()
	p, k := l.parts[reply.Number], l.kept[reply.Number]
	switch reply.Kind {
	case granter.Refused:
		delete(l.parts, reply.Number)
	case granter.Offered:
		if p != nil {
			l.spare[p.pool.key] = reply.Keep
		}
	case granter.Recalled:
		if k != nil {
			l.spare[k.slot.part.pool.key] = false
		}
	}
	l.mu.Unlock()
	if reply.Kind == granter.Recalled {
		if k != nil { // Otherwise a call uses the slot, and the home hears of it.
			k.expire()
		}
		return nil
	}
	if p != nil { // Otherwise the ask was cancelled, which gives a granted slot back.
		p.receive(l, reply)
	}
	return nil
}

// fail gives the stream up: open asks and held slots go to other homes.
func (l *link) fail(err error) {
	l.mu.Lock()
	if l.broken {
		l.mu.Unlock()
		return
	}
	l.broken = true
	parts, slots, conn := l.parts, l.slots, l.conn
	l.parts, l.slots, l.kept = nil, nil, nil // The home drops kept slots with the stream.
	l.mu.Unlock()
	l.out.Close()
	if conn != nil {
		_ = conn.Close()
	}
	l.asker.unlink(l)
	l.asker.Fleet.Failed(l.name)
	log.Warn().Str("home", l.name).Err(err).Int("asks", len(parts)).Int("slots", len(slots)).Msg("route: grant stream broke")
	for _, s := range slots {
		s.lost(l)
	}
	for _, p := range parts {
		p.broke(l)
	}
}

func (l *link) ask(p *part) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return false
	}
	l.parts[p.number] = p
	l.out.Put(encodeAsk(p))
	return true
}

func (l *link) cancel(p *part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return
	}
	delete(l.parts, p.number)
	delete(l.kept, p.number)
	l.out.Put(&messenger.Grant{Kind: &messenger.Grant_Cancel{Cancel: &messenger.Cancel{Number: p.number}}})
}

func (l *link) hold(s *Slot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return false
	}
	delete(l.parts, s.part.number)
	l.slots[s.part.number] = s
	return true
}

func (l *link) held(s *Slot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return false
	}
	l.slots[s.part.number] = s
	l.out.Put(encodeHeld(s))
	return true
}

func (l *link) done(s *Slot, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return
	}
	delete(l.slots, s.part.number)
	l.out.Put(encodeDone(s.part.number, r, false))
}

func (l *link) silent(since time.Time) bool {
	l.mu.Lock()
	quiet := !l.heard.After(since)
	l.mu.Unlock()
	if quiet {
		l.fail(errSilent)
	}
	return quiet
}

func (l *link) slotsOf(k granter.Key) []*Slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return filterSlots(l.slots, k)
}

// keep says that e stays with this entry; it reports whether the home allows that.
func (l *link) keep(e *kept, r Result) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number := e.slot.part.number; !l.broken && l.spare[e.slot.part.pool.key] {
		delete(l.slots, number)
		l.kept[number] = e
		l.out.Put(encodeDone(number, r, true))
		return true
	}
	return false
}

// use says that the call of s uses a kept slot.
func (l *link) use(s *Slot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return false
	}
	delete(l.kept, s.part.number)
	l.slots[s.part.number] = s
	l.out.Put(encodeUse(s))
	return true
}
