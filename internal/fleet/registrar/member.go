package registrar

import (
	"net/netip"
	"time"
)

// State says how an instance stands in the view of another.
type State uint8

// The states of a member.
const (
	Alive   State = iota
	Suspect       // Silent and not reached by a dial.
	Gone          // Silent for long.
	Leaving       // Finishes what it has and takes nothing new.
)

// String returns the name of the state in status and audit trail.
func (s State) String() string {
	return [...]string{"alive", "suspect", "gone", "leaving"}[s]
}

// Member is an entry instance of the fleet.
type Member struct {
	Name        string
	Zone        string
	Region      string
	Peer        netip.AddrPort // Listener for other instances.
	Incarnation uint64         // Start of its process, nanoseconds since 1970; 0 when not heard yet.
	State       State
	Listed      bool // Listed is set when the believed platform list has the instance.
	Self        bool
	Ready       bool      // Ready is its own word in heartbeats; false when this instance is not its neighbour.
	Avoid       time.Time // Not used as home before this time, after a failed dial.
}
