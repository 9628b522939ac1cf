package registrar

import (
	"cmp"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// Timeouts are the timeouts of the membership rules. A zero field means its
// default.
type Timeouts struct {
	Silence  time.Duration // Time without a heartbeat before a neighbour is dialed; 0 means 3s.
	Gone     time.Duration // Duration of silence after which a suspect is gone; 0 means 30s.
	Unlisted time.Duration // Time for which an unlisted member is kept after it was last heard; 0 means 60s.
	Avoid    time.Duration // Time for which a member is not used as home after a failed dial; 0 means 1s.
}

// Table is the membership as one instance sees it. It has no clock and no
// goroutines: its methods take the current time and must not be called
// concurrently. Self, Timeouts and RecordChange must be set before the first
// call.
type Table struct {
	Self         Member
	Timeouts     Timeouts
	RecordChange func(auditor.Change) // Called with an audit entry for each change of a member; may be nil.

	entries        map[string]*entry
	news           []*newsItem
	roster         rosterView
	listed         bool   // A list of the platform was applied.
	visibleChanges uint64 // Number of changes that Members shows.
}

// entry is the record of a member in the table.
type entry struct {
	Member
	sequence         uint64    // Highest known sequence number of the incarnation.
	lastHeard        time.Time // Last evidence that it runs: heartbeat, dial answer, gossip, roster or first listing.
	lastDirect       time.Time // Last heartbeat received directly.
	awaitedSince     time.Time // Start of the wait for a direct heartbeat; zero if not a neighbour.
	silent           bool      // Suspected to have failed.
	silentSince      time.Time // Start of the silence, if silent.
	lastRefuted      time.Time // Last time gossip refuted a suspicion.
	answeredDial     bool      // It answered a dial, so its next heartbeat is gossiped to refute suspicions elsewhere.
	announcedLeaving bool      // Its own heartbeat said that it is leaving.
	listedLeaving    bool      // The list says that it is leaving.
	goneAudited      bool      // The change to Gone is in the audit trail.
}

func (t *Table) init() {
	if t.entries != nil {
		return
	}
	setDefault(&t.Timeouts.Silence, 3*time.Second)
	setDefault(&t.Timeouts.Gone, 30*time.Second)
	setDefault(&t.Timeouts.Unlisted, time.Minute)
	setDefault(&t.Timeouts.Avoid, time.Second)
	t.Self.Self = true
	t.entries = map[string]*entry{t.Self.Name: {Member: t.Self}}
}

// setDefault sets *d to v if it is zero.
func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// note counts a visible change of e and reports it to RecordChange.
func (t *Table) note(now time.Time, e *entry, cause, before, after string) {
	t.visibleChanges++
	if t.RecordChange != nil {
		t.RecordChange(auditor.Change{Time: now, Component: "fleet", Subject: "instance " + e.Name, Cause: cause, Before: before, After: after})
	}
}

// state returns the state of e at now. A suspicion hides that e is leaving.
func (e *entry) state(now time.Time, timeouts Timeouts) State {
	switch {
	case e.silent && now.Sub(e.silentSince) >= timeouts.Gone:
		return Gone
	case e.silent:
		return Suspect
	case e.announcedLeaving || e.listedLeaving:
		return Leaving
	}
	return Alive
}

// Members returns all known members with their states at now, sorted by name.
func (t *Table) Members(now time.Time) []Member {
	t.init()
	out := make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		m := e.Member
		m.State = e.state(now, t.Timeouts)
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// ApplyList applies the entry instances of an accepted list of the platform. A
// member in state Leaving is one that the list shows as leaving. Members that
// the list no longer contains are removed if they are silent or leaving; the
// others are kept for Timeouts.Unlisted.
func (t *Table) ApplyList(now time.Time, list []Member) {
	t.init()
	t.listed = t.listed || len(list) > 0
	seen := make(map[string]bool, len(list))
	for _, l := range list {
		seen[l.Name] = true
		t.applyListed(now, l)
	}
	for _, e := range t.entries {
		switch {
		case seen[e.Name] || !e.Listed:
		case e.Self:
			e.Listed, e.listedLeaving = false, false
			t.note(now, e, "list", "listed", "not listed")
		case e.silent || e.announcedLeaving || e.listedLeaving:
			delete(t.entries, e.Name)
			t.note(now, e, "list", e.state(now, t.Timeouts).String(), "left")
		default:
			e.Listed = false
			e.lastHeard = now // Most members are no neighbours, so lastHeard may be long ago.
			t.note(now, e, "list", "listed", "not listed")
		}
	}
}

// applyListed applies one instance of an accepted list.
func (t *Table) applyListed(now time.Time, l Member) {
	e := t.entries[l.Name]
	if e == nil {
		e = &entry{Member: Member{Name: l.Name}, lastHeard: now}
		t.entries[l.Name] = e
		t.note(now, e, "list", "unknown", "joined")
	}
	if !e.Self {
		if e.PeerAddr != l.PeerAddr || e.Zone != l.Zone || e.Region != l.Region {
			t.visibleChanges++
		}
		e.PeerAddr, e.Zone, e.Region = l.PeerAddr, l.Zone, l.Region
	}
	if !e.Listed {
		e.Listed = true
		t.visibleChanges++
	}
	if leaving := l.State == Leaving; leaving != e.listedLeaving {
		before := e.state(now, t.Timeouts)
		e.listedLeaving = leaving
		t.note(now, e, "list", before.String(), e.state(now, t.Timeouts).String())
	}
}

// HandleHeartbeat applies a heartbeat that arrived on a session with the
// instance described by from. It ignores a heartbeat in the name of another
// instance, of an earlier incarnation, or of an unknown instance without an
// address.
func (t *Table) HandleHeartbeat(now time.Time, from connector.Hello, h *messenger.Heartbeat) {
	t.init()
	e := t.entries[h.GetName()]
	if h.GetName() != from.Name || e != nil && (e.Self || h.GetIncarnation() < e.Incarnation) {
		return
	}
	if e == nil {
		if !from.PeerAddr.IsValid() {
			return // Without an address no instance could reach it.
		}
		e = &entry{Member: Member{
			Name: from.Name, Zone: from.Zone, Region: from.Region, PeerAddr: from.PeerAddr, Incarnation: h.GetIncarnation(), Capacity: from.Capacity,
		}}
		t.entries[e.Name] = e
		t.note(now, e, "heard, not listed", "unknown", "joined")
		t.queueNews(now, e)
	}
	if h.GetIncarnation() > e.Incarnation {
		t.replaceIncarnation(now, e, h.GetIncarnation(), "heartbeat")
	}
	t.dropReplaced(now, e)
	later := h.GetSequence() > e.sequence
	if !later && e.silent {
		return // Delayed: sent before the suspicion.
	}
	e.sequence = max(e.sequence, h.GetSequence())
	e.lastHeard, e.lastDirect = now, now
	if e.Ready != h.GetReady() {
		e.Ready = h.GetReady()
		t.visibleChanges++
	}
	if e.silent {
		t.endSuspicion(now, e, "heartbeat")
	} else if e.answeredDial && later {
		t.queueNews(now, e)
	}
	e.answeredDial = e.answeredDial && !later
	if h.GetLeaving() {
		t.markLeaving(now, e, "heartbeat")
	}
	for _, g := range h.GetGossip() {
		t.MergeGossip(now, g)
	}
}

// replaceIncarnation resets e for a new process of the instance and drops what is
// known of the earlier one. It ends a suspicion.
func (t *Table) replaceIncarnation(now time.Time, e *entry, incarnation uint64, cause string) {
	incarnationKnown := e.Incarnation != 0
	e.Incarnation, e.sequence, e.announcedLeaving, e.AvoidUntil = incarnation, 0, false, time.Time{}
	e.lastHeard = now
	switch {
	case incarnationKnown:
		e.silent = false
		t.note(now, e, cause, "earlier process", "replaced")
		t.queueNews(now, e)
	case e.silent:
		t.endSuspicion(now, e, cause)
	default:
		t.visibleChanges++
	}
}

// dropReplaced drops the other members with the address of e and an earlier
// incarnation: only one process can listen on an address.
func (t *Table) dropReplaced(now time.Time, e *entry) {
	for _, o := range t.entries {
		if o == e || o.Self || o.PeerAddr != e.PeerAddr || o.Incarnation >= e.Incarnation {
			continue
		}
		t.dropMember(now, o, "address taken by instance "+e.Name)
	}
}

// dropMember marks e as gone at once if it is listed, and removes it otherwise.
func (t *Table) dropMember(now time.Time, e *entry, cause string) {
	if !e.Listed {
		delete(t.entries, e.Name)
		t.note(now, e, cause, e.state(now, t.Timeouts).String(), "left")
		return
	}
	if before := e.state(now, t.Timeouts); before != Gone {
		e.silent, e.goneAudited, e.silentSince = true, true, now.Add(-t.Timeouts.Gone)
		t.note(now, e, cause, before.String(), Gone.String())
		t.queueNews(now, e)
	}
}

// markSuspect starts a suspicion of e, which has been silent since the given time.
func (t *Table) markSuspect(now time.Time, e *entry, since time.Time, cause string) {
	before := e.state(now, t.Timeouts)
	e.silent, e.goneAudited, e.silentSince = true, false, since
	t.note(now, e, cause, before.String(), e.state(now, t.Timeouts).String())
	t.queueNews(now, e)
}

// endSuspicion marks e as no longer silent and queues that as gossip.
func (t *Table) endSuspicion(now time.Time, e *entry, cause string) {
	before := e.state(now, t.Timeouts)
	e.silent = false
	if !e.awaitedSince.IsZero() {
		e.awaitedSince = now
	}
	t.note(now, e, cause, before.String(), e.state(now, t.Timeouts).String())
	t.queueNews(now, e)
}

// markLeaving records that the process of e is shutting down, which lasts until
// its end.
func (t *Table) markLeaving(now time.Time, e *entry, cause string) {
	if e.announcedLeaving {
		return
	}
	before := e.state(now, t.Timeouts)
	e.announcedLeaving = true
	t.note(now, e, cause, before.String(), e.state(now, t.Timeouts).String())
	t.queueNews(now, e)
}

// Tick marks members as gone that have been silent for Timeouts.Gone, and removes
// unlisted members that were not heard for Timeouts.Unlisted.
func (t *Table) Tick(now time.Time) {
	t.init()
	for _, e := range t.entries {
		if e.silent && !e.goneAudited && e.state(now, t.Timeouts) == Gone {
			e.goneAudited = true
			t.note(now, e, "silent", Suspect.String(), Gone.String())
		}
		if !e.Listed && !e.Self && now.Sub(e.lastHeard) >= t.Timeouts.Unlisted {
			delete(t.entries, e.Name)
			t.note(now, e, "not listed, not heard", e.state(now, t.Timeouts).String(), "left")
		}
	}
}

// Resume restarts all timeouts after a pause of this process, during which it
// could hear nothing, and drops the queued gossip, which is outdated.
func (t *Table) Resume(now time.Time) {
	t.init()
	t.news = nil
	for _, e := range t.entries {
		e.AvoidUntil = time.Time{}
		if !e.silent {
			e.lastHeard = now
		}
		if !e.awaitedSince.IsZero() {
			e.awaitedSince = now
		}
	}
	t.visibleChanges++
}

// SetOwnState sets the own readiness and, if leaving is set, marks this instance as
// leaving, which cannot be undone.
func (t *Table) SetOwnState(now time.Time, ready, leaving bool) {
	t.init()
	e := t.entries[t.Self.Name]
	if e.Ready != ready {
		e.Ready = ready
		t.visibleChanges++
	}
	if leaving {
		t.markLeaving(now, e, "shutdown")
	}
}
