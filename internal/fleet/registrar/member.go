package registrar

import (
	"net/netip"
	"time"
)

// State is the state of a member as one instance sees it.
type State uint8

// The states of a member.
const (
	Alive   State = iota
	Suspect       // Suspected to have failed, after a failed dial or by gossip.
	Gone          // Suspect for at least Timeouts.Gone.
	Leaving       // Shutting down: completes its calls and accepts no new ones.
)

// String returns the name of s as shown in the status and the audit trail.
func (s State) String() string {
	return [...]string{"alive", "suspect", "gone", "leaving"}[s]
}

// Member is an entry instance of the fleet.
type Member struct {
	Name        string
	Zone        string
	Region      string
	PeerAddr    netip.AddrPort // Address at which it accepts other instances.
	Incarnation uint64         // Start of its process in nanoseconds since 1970; 0 if unknown.
	Capacity    float64        // Processor time relative to other instances; 0 if unknown.
	State       State
	Listed      bool      // The accepted list of the platform contains the instance.
	Self        bool      // This instance.
	Ready       bool      // Readiness from its heartbeats; false if it has sent none to this instance.
	AvoidUntil  time.Time // Not used as home before this time, because a dial or session failed.
}
