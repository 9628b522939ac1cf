package registrar

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/flow/recoverer"
	"sardinelever.example/sardinelever/internal/flow/sleeper"
)

// exchangeTimeout is the limit of one exchange, including the dial.
const exchangeTimeout = 500 * time.Millisecond

// rosterExchanger periodically exchanges rosters with seeds and members. It
// discovers the instances on platforms that do not list them.
type rosterExchanger struct {
	registrar *Registrar
	delay     RosterDelay
}

// run exchanges rosters until ctx is done. The delay is random within 25 % of its
// mean, so that instances do not synchronise.
func (e *rosterExchanger) run(ctx context.Context) {
	defer e.registrar.tasks.Done()
	for ctx.Err() == nil {
		differed := false
		for _, peer := range e.choosePeers(e.delay.Starting()) {
			d, err := e.exchangeRosters(ctx, peer)
			if differed = differed || d; err != nil && ctx.Err() == nil {
				log.Debug().Str("peer", peer.String()).Err(err).Msg("fleet: exchange of rosters with a peer failed")
			}
		}
		delay := e.delay.Next(differed)
		sleeper.Sleep(ctx, delay*3/4+rand.N(delay/2))
	}
}

// choosePeers returns the addresses for the next exchange.
func (e *rosterExchanger) choosePeers(starting bool) []netip.AddrPort {
	r := e.registrar
	var c RosterPeers
	r.mu.Lock()
	c.Seeds = slices.Clone(r.Seeds)
	for _, s := range r.senders {
		c.Neighbours = append(c.Neighbours, s.neighbour.PeerAddr)
	}
	r.mu.Unlock()
	c.Seeds = slices.DeleteFunc(c.Seeds, func(a netip.AddrPort) bool { return a == r.PeerAddr })
	for _, m := range r.Members() {
		if m.Self || m.State != Alive {
			continue
		}
		c.Alive = append(c.Alive, m.PeerAddr)
		if m.Zone == r.Zone {
			c.Zone = append(c.Zone, m.PeerAddr)
		}
	}
	return c.Choose(starting, rand.Float64(), rand.IntN)
}

// exchangeRosters compares the alive members with those of peer, and transfers in both
// directions those that one of the two lacks. It reports whether there were any.
func (e *rosterExchanger) exchangeRosters(ctx context.Context, peer netip.AddrPort) (differed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r := e.registrar
	conn, err := r.StreamOpener.OpenStream(ctx, peer, connector.ControlStream)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	defer recoverer.Catch("exchange of rosters", nil)
	_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
	in := bufio.NewReader(conn)
	var next *messenger.Roster
	r.updateTable(func(t *Table, now time.Time) { next = t.NewRoster(now) })
	for next != nil {
		if err := messenger.WriteMessage(conn, newRosterMessage(next)); err != nil || next.GetReply() {
			return differed, err
		}
		m := new(messenger.Control)
		if err := messenger.ReadLimitedMessage(in, m, maxIncomingBytes); err != nil {
			return differed, err
		}
		r.updateTable(func(t *Table, now time.Time) { next = t.HandleRosterReply(now, m.GetRoster()) })
		differed = differed || next != nil
	}
	return differed, nil
}

func newRosterMessage(m *messenger.Roster) *messenger.Control {
	return &messenger.Control{Kind: &messenger.Control_Roster{Roster: m}}
}

// answerRoster merges a received roster and sends the answer, if there is one.
func (r *Registrar) answerRoster(m *messenger.Roster, reply func(*messenger.Control) error) error {
	var answer *messenger.Roster
	r.updateTable(func(t *Table, now time.Time) { answer = t.AnswerRoster(now, m) })
	if answer == nil {
		return nil
	}
	return reply(newRosterMessage(answer))
}
