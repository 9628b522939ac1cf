package registrar

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

const (
	// MaxHeartbeat is the largest heartbeat in bytes.
	MaxHeartbeat     = 256
	maxGossipEntries = 4
	// maxGossipSends is the number of heartbeats that repeat one piece of news. Every
	// instance that learns it sends it on, so a lost message delays it only.
	maxGossipSends = 3
)

// newsItem is what an instance has yet to tell about a member.
type newsItem struct {
	name     string
	queuedAt time.Time
	sends    int
}

// queueNews queues the state of e for gossip.
func (t *Table) queueNews(now time.Time, e *entry) {
	t.news = slices.DeleteFunc(t.news, func(n *newsItem) bool { return n.name == e.Name })
	t.news = append(t.news, &newsItem{name: e.Name, queuedAt: now})
}

// Gossip returns up to 4 pieces of news for the next heartbeats, newest first.
// Free places tell of unlisted members that this instance hears itself, so that
// the others keep them while the list lags.
func (t *Table) Gossip(now time.Time) []*messenger.Gossip {
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
		if len(out) == maxGossipEntries {
			break
		}
		heardDirectly := !e.Listed && !e.Self && !e.silent && now.Sub(e.lastDirect) <= t.Limits.Silence
		if heardDirectly && !slices.ContainsFunc(out, func(g *messenger.Gossip) bool { return g.GetName() == e.Name }) {
			out = append(out, e.gossipMessage())
		}
	}
	return out
}

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

// Fit removes gossip from the end of h until it has at most MaxHeartbeat bytes
// as a control message.
func Fit(h *messenger.Heartbeat) *messenger.Control {
	m := &messenger.Control{Kind: &messenger.Control_Heartbeat{Heartbeat: h}}
	for len(h.Gossip) > 0 && proto.Size(m) > MaxHeartbeat {
		h.Gossip = h.Gossip[:len(h.Gossip)-1]
	}
	return m
}

// Merge takes a piece of gossip from another instance. News of members that
// this instance does not know is dropped: gossip carries no address.
func (t *Table) Merge(now time.Time, g *messenger.Gossip) {
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

func (t *Table) mergeSuspicion(now time.Time, e *entry, g *messenger.Gossip) {
	switch {
	case e.silent:
		// Gossip of life must be later than every suspicion; otherwise old news
		// revives a dead member again and again.
		e.sequence = max(e.sequence, g.GetSequence())
	case g.GetSequence() >= e.sequence:
		e.sequence = g.GetSequence()
		t.markSuspect(now, e, now, "gossip")
	case now.Sub(e.lastDirect) <= t.Limits.Silence:
		t.queueNews(now, e) // The later sequence number refutes the suspicion.
	}
}

// advanceSequence takes a sequence number from gossip as a sign of life if it is higher
// than the known one.
func (t *Table) advanceSequence(now time.Time, e *entry, sequence uint64, cause string) {
	if sequence <= e.sequence {
		return
	}
	e.sequence = sequence
	e.lastHeard = now
	if e.silent {
		e.lastRefuted = now
		t.markHeard(now, e, cause)
	}
}

// Fresh reports whether there is news that no heartbeat has carried.
func (t *Table) Fresh() bool {
	return slices.ContainsFunc(t.news, func(n *newsItem) bool { return n.sends == 0 })
}
