package registrar

import (
	"net/netip"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/connector"
)

// SetNeighbours sets the neighbours, from which heartbeats are expected. The
// wait for a new neighbour starts now.
func (t *Table) SetNeighbours(now time.Time, neighbours []Member) {
	t.init()
	for _, e := range t.entries {
		isNeighbour := slices.ContainsFunc(neighbours, func(m Member) bool { return m.Name == e.Name })
		switch {
		case !isNeighbour:
			e.awaitedSince = time.Time{}
		case e.awaitedSince.IsZero():
			e.awaitedSince = now
		}
	}
}

// OverdueNeighbours returns the neighbours without a direct heartbeat for
// Timeouts.Silence that are not suspected yet. They are to be dialed.
func (t *Table) OverdueNeighbours(now time.Time) []Member {
	var out []Member
	for _, e := range t.entries {
		last := e.awaitedSince
		if e.lastDirect.After(last) {
			last = e.lastDirect
		}
		if !e.awaitedSince.IsZero() && !e.silent && now.Sub(last) > t.Timeouts.Silence {
			out = append(out, e.Member)
		}
	}
	return out
}

// HandleDialResult applies the result of dialing m: the Hello of the instance
// that answered, or an error. It ignores the result if the address of m has
// changed meanwhile.
func (t *Table) HandleDialResult(now time.Time, m Member, from connector.Hello, err error) {
	e := t.entries[m.Name]
	if e == nil || e.PeerAddr != m.PeerAddr {
		return
	}
	switch {
	case err != nil:
		t.handleFailedDial(now, e)
	case from.Name != e.Name:
		t.dropMember(now, e, "address taken by instance "+from.Name)
	case from.Incarnation < e.Incarnation:
	default:
		if from.Incarnation > e.Incarnation {
			t.replaceIncarnation(now, e, from.Incarnation, "dial")
		}
		e.lastHeard = now
		e.answeredDial = true
		if !e.awaitedSince.IsZero() {
			e.awaitedSince = now
		}
		if e.silent {
			t.endSuspicion(now, e, "dial")
		}
	}
}

// handleFailedDial suspects e, unless gossip refuted an earlier suspicion less
// than Timeouts.Gone ago.
func (t *Table) handleFailedDial(now time.Time, e *entry) {
	t.AvoidPeer(now, e.PeerAddr)
	switch {
	case e.silent:
	case now.Sub(e.lastRefuted) < t.Timeouts.Gone:
		// Others hear it and only this instance cannot reach it. Suspecting it
		// again would make its state flap in the whole fleet.
		e.AvoidUntil = now.Add(t.Timeouts.Silence + t.Timeouts.Avoid)
		if !e.awaitedSince.IsZero() {
			e.awaitedSince = now
		}
		t.visibleChanges++
	default:
		since := e.awaitedSince
		if e.lastHeard.After(since) {
			since = e.lastHeard
		}
		t.markSuspect(now, e, since, "no heartbeat, dial failed")
	}
}

// AvoidPeer records that a dial or session to the member at peer failed. The
// member is not used as home for Timeouts.Avoid.
func (t *Table) AvoidPeer(now time.Time, peer netip.AddrPort) {
	t.init()
	for _, e := range t.entries {
		if until := now.Add(t.Timeouts.Avoid); e.PeerAddr == peer && !e.Self && until.After(e.AvoidUntil) {
			e.AvoidUntil = until
			t.visibleChanges++
		}
	}
}
