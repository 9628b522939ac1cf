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
	"sardinelever.example/sardinelever/internal/flow/sleeper"
)

const (
	// firstExchangeDelay is the mean delay between the first two exchanges of
	// rosters. The delay doubles up to maxExchangeDelay, so that instances that
	// start together know each other within a second.
	firstExchangeDelay = 100 * time.Millisecond
	maxExchangeDelay   = 5 * time.Second
	// exchangeTimeout is the limit of one exchange, including the dial.
	exchangeTimeout = 500 * time.Millisecond
	// seedProbability is the probability that a later exchange goes to a seed
	// instead of a member. These exchanges join parts of a fleet that do not know
	// each other.
	seedProbability = 0.3
)

// rosterExchanger periodically exchanges rosters with seeds and members. It
// discovers the instances on platforms that do not list them.
type rosterExchanger struct{ registrar *Registrar }

// run exchanges rosters until ctx is done. The delay is random within 25 % of its
// mean, so that instances do not synchronise.
func (e *rosterExchanger) run(ctx context.Context) {
	defer e.registrar.tasks.Done()
	delay := firstExchangeDelay
	for ctx.Err() == nil {
		for _, peer := range e.choosePeers(delay < maxExchangeDelay) {
			if err := e.exchangeRosters(ctx, peer); err != nil && ctx.Err() == nil {
				log.Debug().Str("peer", peer.String()).Err(err).Msg("fleet: exchange of rosters with a peer failed")
			}
		}
		sleeper.Sleep(ctx, delay*3/4+rand.N(delay/2))
		delay = min(2*delay, maxExchangeDelay)
	}
}

// choosePeers returns the addresses for the next exchange: all seeds while
// starting or without other alive members, otherwise one random member or seed.
func (e *rosterExchanger) choosePeers(starting bool) []netip.AddrPort {
	r := e.registrar
	r.mu.Lock()
	seeds := slices.Clone(r.Seeds)
	r.mu.Unlock()
	seeds = slices.DeleteFunc(seeds, func(a netip.AddrPort) bool { return a == r.PeerAddr })
	var alive []netip.AddrPort
	for _, m := range r.Members() {
		if !m.Self && m.State == Alive {
			alive = append(alive, m.PeerAddr)
		}
	}
	switch {
	case starting || len(alive) == 0:
		return seeds
	case len(seeds) > 0 && rand.Float64() < seedProbability:
		return seeds[rand.N(len(seeds)):][:1]
	}
	return alive[rand.N(len(alive)):][:1]
}

// exchangeRosters sends the own roster to peer and merges the roster in the reply.
func (e *rosterExchanger) exchangeRosters(ctx context.Context, peer netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r := e.registrar
	conn, err := r.StreamOpener.OpenStream(ctx, peer, connector.ControlStream)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
	if err := messenger.WriteMessage(conn, r.newRosterMessage(false)); err != nil {
		return err
	}
	m := new(messenger.Control)
	if err := messenger.ReadLimitedMessage(bufio.NewReader(conn), m, maxIncomingBytes); err != nil {
		return err
	}
	r.mergeRoster(m.GetRoster())
	return nil
}

// newRosterMessage returns a roster of the alive members and this instance.
func (r *Registrar) newRosterMessage(reply bool) *messenger.Control {
	out := &messenger.Roster{Reply: reply}
	for _, m := range r.Members() {
		if m.State != Alive && !m.Self {
			continue
		}
		peer, _ := m.PeerAddr.MarshalBinary() // Never fails.
		out.Members = append(out.Members, &messenger.Member{
			Name: m.Name, Zone: m.Zone, Region: m.Region, Peer: peer, Incarnation: m.Incarnation,
		})
	}
	return &messenger.Control{Kind: &messenger.Control_Roster{Roster: out}}
}

// mergeRoster adds the members of a received roster to the table. It skips members
// without a valid address.
func (r *Registrar) mergeRoster(roster *messenger.Roster) {
	r.updateTable(func(t *Table, now time.Time) {
		for _, m := range roster.GetMembers() {
			var peer netip.AddrPort
			if err := peer.UnmarshalBinary(m.GetPeer()); err != nil || !peer.IsValid() {
				log.Warn().Str("instance", m.GetName()).Msg("fleet: roster has a member without a valid address; member skipped")
				continue
			}
			t.MergeRosterMember(now, Member{Name: m.GetName(), Zone: m.GetZone(), Region: m.GetRegion(), PeerAddr: peer, Incarnation: m.GetIncarnation()})
		}
	})
}

// MergeRosterMember applies a roster entry, a member that another instance
// considers alive. It adds an unknown member and replaces an earlier
// incarnation. It does not end a suspicion of the same incarnation, because the
// roster may be older than the failure.
func (t *Table) MergeRosterMember(now time.Time, m Member) {
	t.init()
	e := t.entries[m.Name]
	switch {
	case e == nil:
		m.State, m.Listed, m.Self = Alive, false, false
		e = &entry{Member: m, lastHeard: now}
		t.entries[m.Name] = e
		t.note(now, e, "roster", "unknown", "joined")
		t.dropReplaced(now, e)
	case e.Self || m.Incarnation < e.Incarnation:
	case m.Incarnation > e.Incarnation:
		e.PeerAddr, e.Zone, e.Region = m.PeerAddr, m.Zone, m.Region
		t.replaceIncarnation(now, e, m.Incarnation, "roster")
	case !e.silent:
		e.lastHeard = now
	}
}
