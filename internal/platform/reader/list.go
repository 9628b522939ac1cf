package reader

import (
	"net/netip"
	"time"
)

// Entry is one line of the platform's list: an entry instance or a backend server.
type Entry struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"` // Where calls are accepted.
	Peer    netip.AddrPort `json:"peer"`    // Listener for other instances; set for entry instances only.
	Zone    string         `json:"zone"`
	Region  string         `json:"region"`
	Service string         `json:"service"` // Empty for an entry instance.
	Leaving bool           `json:"leaving"`
	Born    uint64         `json:"born,omitempty"`  // Start of a backend server's process, in a unit of the platform's; it tells a new process under an old name.
	Slots   int            `json:"slots,omitempty"` // Calls that a backend server runs at a time; 0 means those of its service.
}

// List is the platform's list at a time of the platform's clock.
type List struct {
	Time    time.Time `json:"time"`
	Entries []Entry   `json:"entries"`
}
