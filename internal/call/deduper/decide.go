package deduper

import (
	"net/netip"
	"time"
)

// Rules holds the times of the rule; a zero value means its default.
type Rules struct {
	Window time.Duration // Records are kept and identities are valid for this time; 0 means 10 min.
	Margin time.Duration // Covers Fresh, the lag of the list and clock errors; 0 means 30 s.
	Fresh  time.Duration // Oldest read of the list with which a call is run; 0 means 10 s.
	Skew   time.Duration // How far in the future the time of an identity may be; 0 means 5 s.
}

func (r Rules) withDefaults() Rules {
	setDefault := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	setDefault(&r.Window, 10*time.Minute)
	setDefault(&r.Margin, 30*time.Second)
	setDefault(&r.Fresh, 10*time.Second)
	setDefault(&r.Skew, 5*time.Second)
	return r
}

// retention is how long a record is kept after its call ended. Identities older
// than Window are refused by the wall clock, which may be wrong by less than Margin.
func (r Rules) retention() time.Duration { return r.Window + r.Margin }

// View is what the deciding instance knows.
type View struct {
	Name        string
	Peer        netip.AddrPort
	Incarnation uint64
	Now         time.Time
	Elapsed     time.Duration // Since the start of the incarnation.
	Last        uint64        // Sequence of the last identity it issued.
	Place       string        // Place of the identity by the last read of the list; empty when none was read.
	Since       time.Time     // Start of the unbroken series of reads that name Place.
	Read        time.Time     // Last read of the list.
	Forwarded   bool          // Another instance forwarded the call to this one.
	Full        bool          // No more records can be kept.
}

// State is the state of the record of an identity.
type State uint8

// The states of a record.
const (
	None    State = iota // This instance has no record.
	Running              // The first attempt runs here now.
	Kept                 // The first attempt ended, and its answer is kept.
	Lost                 // The first attempt may have run, and its answer is not kept.
)

// Verdict says what becomes of an attempt.
type Verdict uint8

// The verdicts.
const (
	Run     Verdict = iota // Run the call here.
	Forward                // Forward it to Decision.Name or Decision.Peer.
	Replay                 // Give the kept answer.
	Wait                   // Wait for the first attempt, then decide again.
	Unknown                // An earlier attempt may have run: outcome unknown.
	Reject                 // This attempt does not run: outcome rejected.
)

// Decision is a verdict with its details.
type Decision struct {
	Verdict Verdict
	Reason  string         // One word for Unknown and Reject.
	Name    string         // Instance to forward to, when Peer is not valid.
	Peer    netip.AddrPort // Peer address to forward to.
}

// Decide applies the rule to an attempt with identity id at an instance with
// view v and a record in state s. It depends on nothing else.
func (r Rules) Decide(id Identity, v View, s State) Decision {
	switch s {
	case Running:
		return Decision{Verdict: Wait}
	case Kept:
		return Decision{Verdict: Replay}
	case Lost:
		return Decision{Verdict: Unknown, Reason: "lost"}
	}
	r = r.withDefaults()
	d := r.decidePlaced(id, v)
	if id.Issued() {
		d = r.decideIssued(id, v)
	}
	if d.Verdict == Forward && v.Forwarded {
		return Decision{Verdict: Unknown, Reason: "place"}
	}
	if d.Verdict == Run && v.Full {
		return Decision{Verdict: Reject, Reason: "full"}
	}
	return d
}

func (r Rules) decideIssued(id Identity, v View) Decision {
	switch {
	case id.Peer != v.Peer:
		return Decision{Verdict: Forward, Peer: id.Peer}
	case id.Incarnation != v.Incarnation:
		return Decision{Verdict: Unknown, Reason: "gone"}
	case id.Sequence > v.Last:
		return Decision{Verdict: Reject, Reason: "identity"} // Never issued.
	case v.Elapsed-time.Duration(id.Sequence) > r.Window:
		return Decision{Verdict: Unknown, Reason: "old"}
	default:
		return Decision{Verdict: Run}
	}
}

func (r Rules) decidePlaced(id Identity, v View) Decision {
	created := id.Time
	if created.IsZero() {
		created = v.Now.Add(-r.Window)
	}
	unknown := func(reason string) Decision { return Decision{Verdict: Unknown, Reason: reason} }
	switch {
	case v.Place == "":
		return unknown("place")
	case v.Place != v.Name:
		return Decision{Verdict: Forward, Name: v.Place}
	case v.Now.Sub(v.Read) > r.Fresh:
		return unknown("stale")
	case created.After(v.Now.Add(r.Skew)):
		return unknown("future")
	case created.Before(v.Now.Add(-r.Window)):
		return unknown("old")
	case v.Since.After(created.Add(-r.Margin)):
		return unknown("moved")
	default:
		return Decision{Verdict: Run}
	}
}
