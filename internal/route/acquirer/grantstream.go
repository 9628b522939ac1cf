package acquirer

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/flow/recoverer"
	"sardinelever.example/sardinelever/internal/route/allocator"
)

// grantStream is the grant stream to a home on another instance. It is never reused
// after it breaks; a new one replaces it.
type grantStream struct {
	client *Client
	name   string         // Name of the home.
	zone   string         // Zone of the home.
	peer   netip.AddrPort // Peer address of the home.
	outbox allocator.Outbox

	mu           sync.Mutex
	asks         map[uint64]*poolAsk        // Asks without a final reply, by number.
	slots        map[uint64]*Slot           // Slots in use, by number of the ask.
	kept         map[uint64]*keptSlot       // Kept slots, by number of the ask.
	mayKeep      map[allocator.PoolKey]bool // Pools whose slots may be kept, by the last Offer or Recall of the home.
	lastReceived time.Time
	broken       bool
	conn         net.Conn
}

func newGrantStream(c *Client, m registrar.Member) *grantStream {
	return &grantStream{
		client: c, name: m.Name, zone: m.Zone, peer: m.PeerAddr, asks: make(map[uint64]*poolAsk), slots: make(map[uint64]*Slot),
		kept: make(map[uint64]*keptSlot), mayKeep: make(map[allocator.PoolKey]bool),
	}
}

var errPanicked = errors.New("handling of a reply panicked")

// openTimeout bounds the time to open a stream. A home that takes longer counts as
// unreachable.
const openTimeout = 500 * time.Millisecond

// run opens the stream and reads the replies of the home until the stream breaks.
func (g *grantStream) run() {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	conn, err := g.client.StreamOpener.OpenStream(ctx, g.peer, connector.GrantStream)
	cancel()
	if err == nil && g.setConn(conn) {
		go g.writeOutbox(conn)
		err = g.readReplies(conn)
	}
	if conn != nil {
		_ = conn.Close()
	}
	g.fail(err)
}

// setConn sets the connection and reports whether the stream is still in use.
func (g *grantStream) setConn(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conn = conn
	return !g.broken
}

// writeOutbox writes queued messages until the outbox is closed or a write fails.
func (g *grantStream) writeOutbox(conn net.Conn) {
	_ = g.outbox.WriteMessages(conn)
	_ = conn.Close()
}

func (g *grantStream) readReplies(conn net.Conn) (err error) {
	defer recoverer.Catch("replies of home "+g.name, func() { err = errPanicked })
	r := bufio.NewReaderSize(conn, 32<<10)
	for {
		m := new(messenger.Grant)
		if err := messenger.ReadMessage(r, m); err != nil {
			return err
		}
		if err := g.handleMessage(m); err != nil {
			return err
		}
	}
}

// handleMessage passes a reply to its ask, and gives back a kept slot on a recall.
func (g *grantStream) handleMessage(m *messenger.Grant) error {
	reply, ok, err := decodeReply(m)
	if err != nil || !ok {
		return err
	}
	g.mu.Lock()
	g.lastReceived = time.Now()
	p, k := g.asks[reply.Number], g.kept[reply.Number]
	switch reply.Kind {
	case allocator.ReplyRefused:
		delete(g.asks, reply.Number)
	case allocator.ReplyOffered:
		if p != nil {
			g.mayKeep[p.pool.key] = reply.MayKeep
		}
	case allocator.ReplyRecalled:
		if k != nil {
			g.mayKeep[k.slot.ask.pool.key] = false
		}
	}
	g.mu.Unlock()
	if reply.Kind == allocator.ReplyRecalled {
		if k != nil { // Otherwise a call uses the slot, which the home learns from Use.
			k.expire()
		}
		return nil
	}
	if p != nil { // Otherwise the ask was cancelled, and the home takes a granted slot back.
		p.receiveFrom(g, reply)
	}
	return nil
}

// fail closes the stream. Its open asks are sent to other homes, and its slots in
// use are reported to other homes.
func (g *grantStream) fail(err error) {
	g.mu.Lock()
	if g.broken {
		g.mu.Unlock()
		return
	}
	g.broken = true
	asks, slots, conn := g.asks, g.slots, g.conn
	g.asks, g.slots, g.kept = nil, nil, nil // The home drops kept slots with the stream.
	g.mu.Unlock()
	g.outbox.Close()
	if conn != nil {
		_ = conn.Close()
	}
	g.client.removeStream(g)
	g.client.failPoolsOf(g)
	g.client.Fleet.ReportFailure(g.name)
	log.Warn().Str("home", g.name).Err(err).Int("asks", len(asks)).Int("slots", len(slots)).Msg("route: grant stream broke")
	for _, s := range slots {
		s.replaceHome(g)
	}
	for _, p := range asks {
		p.streamBroke(g)
	}
}

func (g *grantStream) sendAsk(p *poolAsk) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken {
		return false
	}
	g.asks[p.number] = p
	g.outbox.Enqueue(encodeAsk(p))
	return true
}

func (g *grantStream) cancelAsk(p *poolAsk) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken {
		return
	}
	delete(g.asks, p.number)
	delete(g.kept, p.number)
	delete(g.slots, p.number)
	g.outbox.Enqueue(&messenger.Grant{Kind: &messenger.Grant_Cancel{Cancel: &messenger.Cancel{Number: p.number}}})
}

func (g *grantStream) trackSlot(s *Slot) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken {
		return false
	}
	delete(g.asks, s.ask.number)
	g.slots[s.ask.number] = s
	return true
}

func (g *grantStream) reportHeld(s *Slot) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken {
		return false
	}
	g.slots[s.ask.number] = s
	g.outbox.Enqueue(encodeHeld(s))
	return true
}

func (g *grantStream) reportSilent(s *Slot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.broken {
		g.outbox.Enqueue(&messenger.Grant{Kind: &messenger.Grant_Silent{Silent: &messenger.Silent{Number: s.ask.number}}})
	}
}

func (g *grantStream) reportDone(s *Slot, r Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken {
		return
	}
	delete(g.slots, s.ask.number)
	g.outbox.Enqueue(encodeDone(s.ask.number, r, false))
}

func (g *grantStream) failIfSilent(since time.Time) bool {
	g.mu.Lock()
	silent := !g.lastReceived.After(since)
	g.mu.Unlock()
	if silent {
		g.fail(errHomeSilent)
	}
	return silent
}

func (g *grantStream) heldSlots(k allocator.PoolKey) []*Slot {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slotsOfPool(g.slots, k)
}

// keepSlot reports the result r to the home and keeps the slot of k, if the home
// allows that for the pool. It reports whether it did.
func (g *grantStream) keepSlot(k *keptSlot, r Result) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if number := k.slot.ask.number; !g.broken && g.mayKeep[k.slot.ask.pool.key] {
		delete(g.slots, number)
		g.kept[number] = k
		g.outbox.Enqueue(encodeDone(number, r, true))
		return true
	}
	return false
}

// useSlot tells the home that a call uses the kept slot s. It returns false if the
// stream broke.
func (g *grantStream) useSlot(s *Slot) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken {
		return false
	}
	delete(g.kept, s.ask.number)
	g.slots[s.ask.number] = s
	g.outbox.Enqueue(encodeUse(s))
	return true
}
