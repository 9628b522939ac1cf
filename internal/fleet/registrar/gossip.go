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
	MaxHeartbeat = 256
	maxGossip    = 4
	// maxSends is the number of heartbeats that repeat one piece of news. Every
	// instance that learns it sends it on, so a lost message delays it only.
	maxSends = 3
)

// news is what an instance has yet to tell about a member.
type news struct {
	name string
	time time.Time
	sent int
}

// tell queues the state of e for gossip.
func (t *Table) tell(now time.Time, e *entry) {
	t.news = slices.DeleteFunc(t.news, func(n *news) bool { return n.name == e.Name })
	t.news = append(t.news, &news{name: e.Name, time: now})
}

// Gossip returns up to 4 pieces of news for the next heartbeats, newest first.
// Free places tell of unlisted members that this instance hears itself, so that
// the others keep them while the list lags.
func (t *Table) Gossip(now time.Time) []*messenger.Gossip {
	slices.SortStableFunc(t.news, func(a, b *news) int {
		return cmp.Or(b.time.Compare(a.time), cmp.Compare(a.sent, b.sent))
	})
	var out []*messenger.Gossip
	for _, n := range t.news {
		e := t.entries[n.name]
		if e == nil {
			n.sent = maxSends
			continue
		}
		if len(out) == maxGossip {
			break
		}
		out = append(out, e.gossip())
		n.sent++
	}
	t.news = slices.DeleteFunc(t.news, func(n *news) bool { return n.sent >= maxSends })
	for _, e := range t.entries {
		if len(out) == maxGossip {
			break
		}
		fresh := !e.Listed && !e.Self && !e.silent && now.Sub(e.direct) <= t.Limits.Silence
		if fresh && !slices.ContainsFunc(out, func(g *messenger.Gossip) bool { return g.GetName() == e.Name }) {
			out = append(out, e.gossip())
		}
	}
	return out
}

func (e *entry) gossip() *messenger.Gossip {
	g := &messenger.Gossip{Name: e.Name, Incarnation: e.Incarnation, Sequence: e.sequence, State: messenger.State_STATE_ALIVE}
	switch {
	case e.silent:
		g.State = messenger.State_STATE_SILENT
	case e.leaving:
		g.State = messenger.State_STATE_LEAVING
	}
	return g
}

// Fit removes gossip from the end of h until it has at most MaxHeartbeat bytes
// as a control message.
func Fit(h *messenger.Heartbeat) *messenger.Control {
	c := &messenger.Control{Kind: &messenger.Control_Heartbeat{Heartbeat: h}}
	for len(h.Gossip) > 0 && proto.Size(c) > MaxHeartbeat {
		h.Gossip = h.Gossip[:len(h.Gossip)-1]
	}
	return c
}

// Merge takes a piece of gossip from another instance. News of members that
// this instance does not know is dropped: gossip carries no address.
func (t *Table) Merge(now time.Time, g *messenger.Gossip) {
	e := t.entries[g.GetName()]
	if e == nil || e.Self || g.GetIncarnation() < e.Incarnation {
		return
	}
	if g.GetIncarnation() > e.Incarnation {
		t.renew(now, e, g.GetIncarnation(), "gossip")
	}
	switch g.GetState() {
	case messenger.State_STATE_SILENT:
		t.mergeSilent(now, e, g)
	case messenger.State_STATE_LEAVING:
		t.advance(now, e, g.GetSequence(), "gossip")
		t.leave(now, e, "gossip")
	case messenger.State_STATE_ALIVE:
		t.advance(now, e, g.GetSequence(), "gossip")
	}
}

func (t *Table) mergeSilent(now time.Time, e *entry, g *messenger.Gossip) {
	switch {
	case e.silent:
		// Gossip of life must be later than every suspicion; otherwise old news
		// revives a dead member again and again.
		e.sequence = max(e.sequence, g.GetSequence())
	case g.GetSequence() >= e.sequence:
		e.sequence = g.GetSequence()
		t.suspect(now, e, now, "gossip")
	case now.Sub(e.direct) <= t.Limits.Silence:
		t.tell(now, e) // The later sequence number refutes the suspicion.
	}
}

// advance takes a sequence number from gossip as a sign of life if it is higher
// than the known one.
func (t *Table) advance(now time.Time, e *entry, sequence uint64, cause string) {
	if sequence <= e.sequence {
		return
	}
	e.sequence = sequence
	e.heard = now
	if e.silent {
		e.refuted = now
		t.revive(now, e, cause)
	}
}

// Fresh reports whether there is news that no heartbeat has carried.
func (t *Table) Fresh() bool {
	return slices.ContainsFunc(t.news, func(n *news) bool { return n.sent == 0 })
}
