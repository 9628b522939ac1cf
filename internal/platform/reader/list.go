package reader

import (
	"net/netip"
	"time"
)

// Entry is an element of the platform's list: an instance that accepts calls, or a
// backend server.
type Entry struct {
	Name         string         `json:"name"`
	Address      netip.AddrPort `json:"address"` // Address that accepts calls.
	PeerAddr     netip.AddrPort `json:"peer"`    // Address that accepts connections of other instances; not set for a backend server.
	Zone         string         `json:"zone"`
	Region       string         `json:"region"`
	Unplaced     bool           `json:"-"`               // Zone is not one of those that the settings name.
	Service      string         `json:"service"`         // Empty for an instance.
	Leaving      bool           `json:"leaving"`         // Set when it is about to stop and takes no new calls.
	ProcessStart uint64         `json:"born,omitempty"`  // Start time of a backend server's process, in a unit of the platform's choice; it distinguishes a new process from an earlier one with the same name.
	Slots        int            `json:"slots,omitempty"` // Calls that a backend server runs at a time; 0 means the number set for its service.
	// Cold is the time for which a backend server is still cold, as of when the entry was
	// written. Where the entry does not say, Started is set instead.
	Cold     time.Duration `json:"cold,omitempty"`
	Started  time.Time     `json:"started,omitzero"`   // Start of a backend server's process by its own clock.
	Sequence uint64        `json:"sequence,omitempty"` // Number of the statement that the entry carries; it rises with each one of a process.
}

// List is the platform's list of instances and backend servers.
type List struct {
	Time    time.Time `json:"time"` // When the list was made, by the platform's clock.
	Entries []Entry   `json:"entries"`
	// Evacuated are the availability zones, sorted, whose backend servers must get no
	// requests by an order of the operator. Only package watcher sets it.
	Evacuated []string `json:"-"`
}
