package registrar

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

const (
	// MaxHeartbeatBytes is the limit of an encoded heartbeat message in bytes.
	MaxHeartbeatBytes = 256
	maxGossipEntries  = 4
	// maxGossipSends is the number of heartbeats that carry one news item. Every
	// instance that learns of it sends it on as often, so the loss of a message
	// only delays it.
	maxGossipSends = 3
)

// newsItem marks a member whose state is to be sent in the next heartbeats.
type newsItem struct {
	name     string
	queuedAt time.Time
	sends    int
}

// queueNews queues the state of e for gossip, in place of an earlier item for e.
func (t *Table) queueNews(now time.Time, e *entry) {
	t.news = slices.DeleteFunc(t.news, func(n *newsItem) bool { return n.name == e.Name })
	t.news = append(t.news, &newsItem{name: e.Name, queuedAt: now})
}

// TakeGossip returns up to maxGossipEntries entries for the next heartbeat, the
// newest news first, and counts them as sent. If the platform provides a list, the
// remaining entries describe unlisted members that this instance hears directly, so
// that other instances keep them until the list has them. Without a list, exchanges
// of rosters do that.
func (t *Table) TakeGossip(now time.Time) []*messenger.Gossip {
	slices.SortStableFunc(t.news, func(a, b *newsItem) int {
		return cmp.Or(b.queuedAt.Compare(a.queuedAt), cmp.Compare(a.sends, b.sends))
	})
	var out []*messenger.Gossip
	for _, n := range t.news {
		e := t.entries[n.name]
		if e == nil {
			n.sends = maxGossipSends
			continue
		}
		if len(out) == maxGossipEntries {
			break
		}
		out = append(out, e.gossipMessage())
		n.sends++
	}
	t.news = slices.DeleteFunc(t.news, func(n *newsItem) bool { return n.sends >= maxGossipSends })
	for _, e := range t.entries {
		if !t.listed || len(out) == maxGossipEntries {
			break
		}
		heardDirectly := !e.Listed && !e.Self && !e.silent && now.Sub(e.lastDirect) <= t.Timeouts.Silence
		if heardDirectly && !slices.ContainsFunc(out, func(g *messenger.Gossip) bool { return g.GetName() == e.Name }) {
			out = append(out, e.gossipMessage())
		}
	}
	return out
}

// gossipMessage returns the state of e as a gossip entry.
func (e *entry) gossipMessage() *messenger.Gossip {
	g := &messenger.Gossip{Name: e.Name, Incarnation: e.Incarnation, Sequence: e.sequence, State: messenger.State_STATE_ALIVE}
	switch {
	case e.silent:
		g.State = messenger.State_STATE_SILENT
	case e.announcedLeaving:
		g.State = messenger.State_STATE_LEAVING
	}
	return g
}

// FitHeartbeat returns h as a control message, after removing gossip entries
// from the end of h until the message has at most MaxHeartbeatBytes bytes.
func FitHeartbeat(h *messenger.Heartbeat) *messenger.Control {
	m := &messenger.Control{Kind: &messenger.Control_Heartbeat{Heartbeat: h}}
	for len(h.Gossip) > 0 && proto.Size(m) > MaxHeartbeatBytes {
		h.Gossip = h.Gossip[:len(h.Gossip)-1]
	}
	return m
}

// MergeGossip applies a gossip entry from another instance. It ignores entries for
// unknown members, because gossip carries no address, and entries of an earlier
// incarnation.
func (t *Table) MergeGossip(now time.Time, g *messenger.Gossip) {
	e := t.entries[g.GetName()]
	if e == nil || e.Self || g.GetIncarnation() < e.Incarnation {
		return
	}
	if g.GetIncarnation() > e.Incarnation {
		t.replaceIncarnation(now, e, g.GetIncarnation(), "gossip")
	}
	switch g.GetState() {
	case messenger.State_STATE_SILENT:
		t.mergeSuspicion(now, e, g)
	case messenger.State_STATE_LEAVING:
		t.advanceSequence(now, e, g.GetSequence(), "gossip")
		t.markLeaving(now, e, "gossip")
	case messenger.State_STATE_ALIVE:
		t.advanceSequence(now, e, g.GetSequence(), "gossip")
	}
}

// mergeSuspicion applies gossip that e is silent. A sequence number that is at
// least the known one confirms the suspicion; a lower one is outdated.
func (t *Table) mergeSuspicion(now time.Time, e *entry, g *messenger.Gossip) {
	switch {
	case e.silent:
		// Only a sequence number above those of all suspicions refutes them;
		// otherwise outdated gossip would revive a dead member repeatedly.
		e.sequence = max(e.sequence, g.GetSequence())
	case g.GetSequence() >= e.sequence:
		e.sequence = g.GetSequence()
		t.markSuspect(now, e, now, "gossip")
	case now.Sub(e.lastDirect) <= t.Timeouts.Silence:
		t.queueNews(now, e) // Gossip with the higher sequence number refutes the suspicion elsewhere.
	}
}

// advanceSequence takes gossip as evidence that e runs if its sequence number is
// higher than the known one, and ends a suspicion of e in that case.
func (t *Table) advanceSequence(now time.Time, e *entry, sequence uint64, cause string) {
	if sequence <= e.sequence {
		return
	}
	e.sequence = sequence
	e.lastHeard = now
	if e.silent {
		e.lastRefuted = now
		t.endSuspicion(now, e, cause)
	}
}

// HasUnsentNews reports whether there is a news item that no heartbeat has carried.
func (t *Table) HasUnsentNews() bool {
	return slices.ContainsFunc(t.news, func(n *newsItem) bool { return n.sends == 0 })
}
