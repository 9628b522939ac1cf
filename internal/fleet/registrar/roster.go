package registrar

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

// maxRosterMembers bounds the members in one message, so that it stays well below
// maxIncomingBytes. Further members follow in later exchanges.
const maxRosterMembers = 400

// rosterView is the set of alive members that an exchange compares. The sum over all
// hashes is equal for equal sets, so that two instances with the same members
// exchange only their sums.
type rosterView struct {
	changes uint64 // Table.visibleChanges at which the view was made.
	sum     uint64
	members map[uint32]*entry // By the low half of the hash of name and incarnation.
}

// rosterView returns the view of the present members. It is made anew only after a
// visible change, because most exchanges find none.
func (t *Table) rosterView(now time.Time) rosterView {
	t.init()
	if t.roster.members != nil && t.roster.changes == t.visibleChanges {
		return t.roster
	}
	v := rosterView{changes: t.visibleChanges, members: make(map[uint32]*entry, len(t.entries))}
	for _, e := range t.entries {
		if e.state(now, t.Timeouts) == Alive {
			h := e.rosterHash()
			v.sum += h
			v.members[uint32(h)] = e
		}
	}
	t.roster = v
	return v
}

// rosterHash returns the hash of the name and the incarnation of e.
func (e *entry) rosterHash() uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(e.Incarnation)
	_, _ = d.WriteString(e.Name)
	return d.Sum64()
}

// NewRoster returns the first message of an exchange: this instance and the sum over
// the members that it knows to be alive.
func (t *Table) NewRoster(now time.Time) *messenger.Roster {
	return &messenger.Roster{Members: t.ownRosterEntry(now), Sum: t.rosterView(now).sum}
}

func (t *Table) ownRosterEntry(now time.Time) []*messenger.Member {
	t.init()
	if e := t.entries[t.Self.Name]; e.state(now, t.Timeouts) == Alive {
		return []*messenger.Member{e.rosterMessage()}
	}
	return nil
}

// AnswerRoster merges the members of a received roster and returns the answer: the
// members that the sender asked for, or else the own sum, with the hashes of all known
// members if the sums differ. The answer to a reply is nil.
func (t *Table) AnswerRoster(now time.Time, m *messenger.Roster) *messenger.Roster {
	t.mergeRosterMembers(now, m.GetMembers())
	if m.GetReply() {
		return nil
	}
	v := t.rosterView(now)
	reply := &messenger.Roster{Reply: true}
	if len(m.GetMissing()) > 0 {
		for _, h := range m.GetMissing() {
			if e := v.members[h]; e != nil && len(reply.Members) < maxRosterMembers {
				reply.Members = append(reply.Members, e.rosterMessage())
			}
		}
		return reply
	}
	reply.Sum = v.sum
	if v.sum == m.GetSum() {
		t.confirmMembers(now, v, nil)
		return reply
	}
	for h := range v.members {
		reply.Hashes = append(reply.Hashes, h)
	}
	return reply
}

// HandleRosterReply applies an answer and returns the next message of the exchange,
// which is nil at its end: it holds the members that the peer lacks and asks for those
// that this instance lacks.
func (t *Table) HandleRosterReply(now time.Time, reply *messenger.Roster) *messenger.Roster {
	t.mergeRosterMembers(now, reply.GetMembers())
	if reply.GetSum() == 0 {
		return nil
	}
	v := t.rosterView(now)
	if v.sum == reply.GetSum() {
		t.confirmMembers(now, v, nil)
		return nil
	}
	known := make(map[uint32]bool, len(reply.GetHashes()))
	next := new(messenger.Roster)
	for _, h := range reply.GetHashes() {
		known[h] = true
		if v.members[h] == nil && len(next.Missing) < maxRosterMembers {
			next.Missing = append(next.Missing, h)
		}
	}
	t.confirmMembers(now, v, known)
	for h, e := range v.members {
		if !known[h] && len(next.Members) < maxRosterMembers {
			next.Members = append(next.Members, e.rosterMessage())
		}
	}
	next.Reply = len(next.Missing) == 0
	if next.Reply && len(next.Members) == 0 {
		return nil
	}
	return next
}

// confirmMembers records that another instance considers the members in v alive whose
// hashes are in known, or all of them if known is nil.
func (*Table) confirmMembers(now time.Time, v rosterView, known map[uint32]bool) {
	for h, e := range v.members {
		if known == nil || known[h] {
			e.lastHeard = now
		}
	}
}

func (e *entry) rosterMessage() *messenger.Member {
	peer, _ := e.PeerAddr.MarshalBinary() // Never fails.
	return &messenger.Member{Name: e.Name, Zone: e.Zone, Region: e.Region, Peer: peer, Incarnation: e.Incarnation, Capacity: e.Capacity}
}

// mergeRosterMembers adds received members. It skips members without a valid address.
func (t *Table) mergeRosterMembers(now time.Time, members []*messenger.Member) {
	t.init()
	for _, m := range members {
		var peer netip.AddrPort
		if err := peer.UnmarshalBinary(m.GetPeer()); err != nil || !peer.IsValid() || m.GetName() == "" {
			log.Warn().Str("instance", m.GetName()).Msg("fleet: roster has a member without a valid address; member skipped")
			continue
		}
		t.mergeRosterMember(now, Member{
			Name: m.GetName(), Zone: m.GetZone(), Region: m.GetRegion(), PeerAddr: peer, Incarnation: m.GetIncarnation(), Capacity: m.GetCapacity(),
		})
	}
	if len(members) > 0 {
		t.dropAllReplaced(now)
	}
}

// dropAllReplaced drops the members whose address another one of a later incarnation
// has.
func (t *Table) dropAllReplaced(now time.Time) {
	latest := make(map[netip.AddrPort]*entry, len(t.entries))
	for _, e := range t.entries {
		if o := latest[e.PeerAddr]; o == nil || o.Incarnation < e.Incarnation {
			latest[e.PeerAddr] = e
		}
	}
	if len(latest) == len(t.entries) {
		return
	}
	for _, e := range latest {
		t.dropReplaced(now, e)
	}
}

// MergeRosterMember applies a roster entry, a member that another instance
// considers alive. It adds an unknown member and replaces an earlier
// incarnation. It does not end a suspicion of the same incarnation, because the
// roster may be older than the failure.
func (t *Table) MergeRosterMember(now time.Time, m Member) {
	t.init()
	t.mergeRosterMember(now, m)
	t.dropAllReplaced(now)
}

func (t *Table) mergeRosterMember(now time.Time, m Member) {
	e := t.entries[m.Name]
	switch {
	case e == nil:
		m.State, m.Listed, m.Self = Alive, false, false
		e = &entry{Member: m, lastHeard: now}
		t.entries[m.Name] = e
		t.note(now, e, "roster", "unknown", "joined")
	case e.Self || m.Incarnation < e.Incarnation:
	case m.Incarnation > e.Incarnation:
		e.PeerAddr, e.Zone, e.Region, e.Capacity = m.PeerAddr, m.Zone, m.Region, m.Capacity
		t.replaceIncarnation(now, e, m.Incarnation, "roster")
	case !e.silent:
		e.lastHeard = now
	}
}
