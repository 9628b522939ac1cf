package deduper

import (
	"net/netip"
	"time"
)

// Rules holds the time limits by which Decide decides; a zero field means its
// default.
type Rules struct {
	// Window is the validity of an idempotency key from its creation; its record
	// is kept at least as long. 0 means 10 min.
	Window time.Duration
	// Margin is how long before the creation of an idempotency key its place
	// must have been this instance already. It covers MaxListAge, MaxSkew, the
	// lag of the list and clock errors. 0 means 30 s.
	Margin time.Duration
	// MaxListAge is the longest time since the last read of the list for a call to
	// be executed. 0 means 10 s.
	MaxListAge time.Duration
	// MaxSkew is how far in the future the creation time of an idempotency key
	// may be. 0 means 5 s.
	MaxSkew time.Duration
}

func (r Rules) withDefaults() Rules {
	setDefault := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	setDefault(&r.Window, 10*time.Minute)
	setDefault(&r.Margin, 30*time.Second)
	setDefault(&r.MaxListAge, 10*time.Second)
	setDefault(&r.MaxSkew, 5*time.Second)
	return r
}

// retention returns how long a record is kept after its call ended. Idempotency
// keys older than Window are refused by the wall clock, whose error is less than
// Margin, so a record outlives the validity of its idempotency key.
func (r Rules) retention() time.Duration { return r.Window + r.Margin }

// View is what the deciding instance knows besides the record of the idempotency
// key.
type View struct {
	Name         string // Name of the deciding instance.
	PeerAddr     netip.AddrPort
	Incarnation  uint64
	Now          time.Time
	Elapsed      time.Duration // Time since the start of the incarnation.
	LastSequence uint64        // Sequence of the last idempotency key that the instance issued.
	Place        string        // Instance that is the place of the idempotency key by the last read of the list; empty before the first read.
	PlaceSince   time.Time     // Time of the first of the uninterrupted series of reads that give this Place.
	ListRead     time.Time     // Time of the last read of the list.
	Forwarded    bool          // The call was forwarded to this instance by another one.
	StoreFull    bool          // The store has no room for another record.
}

// State is the state of the record of an idempotency key at this instance.
type State uint8

// The states of a record.
const (
	NoRecord     State = iota // There is no record.
	Running                   // The first attempt is running at this instance.
	ResponseKept              // The first attempt ended, and its response is kept.
	ResponseLost              // The first attempt may have run, and its response is not kept.
)

// Verdict says what happens to an attempt.
type Verdict uint8

// The verdicts.
const (
	RunHere        Verdict = iota // Execute the call at this instance.
	ForwardCall                   // Forward the call to Decision.PeerAddr, or to Decision.Name when PeerAddr is not valid.
	ReplayResponse                // Answer with the kept response of the first attempt.
	WaitForFirst                  // Wait for the first attempt, then decide again.
	ReportUnknown                 // Report the outcome unknown: an earlier attempt may have run.
	ReportRejected                // Report the outcome rejected: this attempt did not run.
)

// Decision is a verdict with its details.
type Decision struct {
	Verdict  Verdict
	Reason   string         // Reason reported with ReportUnknown and ReportRejected.
	Name     string         // Instance to forward to, when PeerAddr is not valid.
	PeerAddr netip.AddrPort // Peer address to forward to.
}

// Decide decides what happens to an attempt with the idempotency key key at an
// instance that knows v and whose record of key is in state s. It reads no clock
// and no other state.
func (r Rules) Decide(key IdempotencyKey, v View, s State) Decision {
	switch s {
	case Running:
		return Decision{Verdict: WaitForFirst}
	case ResponseKept:
		return Decision{Verdict: ReplayResponse}
	case ResponseLost:
		return Decision{Verdict: ReportUnknown, Reason: "lost"}
	}
	r = r.withDefaults()
	d := r.decidePlaced(key, v)
	if key.Issued() {
		d = r.decideIssued(key, v)
	}
	if d.Verdict == ForwardCall && v.Forwarded {
		return Decision{Verdict: ReportUnknown, Reason: "place"}
	}
	if d.Verdict == RunHere && v.StoreFull {
		return Decision{Verdict: ReportRejected, Reason: "full"}
	}
	return d
}

// decideIssued decides about an idempotency key that an instance issued and of
// which this instance has no record.
func (r Rules) decideIssued(key IdempotencyKey, v View) Decision {
	switch {
	case key.PeerAddr != v.PeerAddr:
		return Decision{Verdict: ForwardCall, PeerAddr: key.PeerAddr}
	case key.Incarnation != v.Incarnation:
		return Decision{Verdict: ReportUnknown, Reason: "gone"}
	case key.Sequence > v.LastSequence:
		return Decision{Verdict: ReportRejected, Reason: "identity"} // Never issued.
	case v.Elapsed-time.Duration(key.Sequence) > r.Window:
		return Decision{Verdict: ReportUnknown, Reason: "old"}
	default:
		return Decision{Verdict: RunHere}
	}
}

// decidePlaced decides about an idempotency key that was not issued by an
// instance and of which this instance has no record. Only its place may execute
// the call.
func (r Rules) decidePlaced(key IdempotencyKey, v View) Decision {
	created := key.Time
	if created.IsZero() {
		// The first attempt may have been made up to Window ago.
		created = v.Now.Add(-r.Window)
	}
	unknown := func(reason string) Decision { return Decision{Verdict: ReportUnknown, Reason: reason} }
	switch {
	case v.Place == "":
		return unknown("place")
	case v.Place != v.Name:
		return Decision{Verdict: ForwardCall, Name: v.Place}
	case v.Now.Sub(v.ListRead) > r.MaxListAge:
		return unknown("stale")
	case created.After(v.Now.Add(r.MaxSkew)):
		return unknown("future")
	case created.Before(v.Now.Add(-r.Window)):
		return unknown("old")
	case v.PlaceSince.After(created.Add(-r.Margin)):
		return unknown("moved")
	default:
		return Decision{Verdict: RunHere}
	}
}
