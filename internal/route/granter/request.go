package granter

import (
	"net/netip"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// Reasons of a refusal.
const (
	Full = "full" // The queue of the rank is full.
	Late = "late" // The deadline would pass before the call could be served.
	None = "none" // No backend server may run the call.
)

// Receiver is the session that owns an ask. Receive is called by the goroutine
// of a pool; it must neither block nor call the Granter.
type Receiver interface {
	Receive(r Reply)
}

// ID names an ask and the grant that follows from it; Number is unique for its Owner.
type ID struct {
	Owner  Receiver
	Number uint64
}

// Ask requests a slot.
type Ask struct {
	ID
	Rank     parser.Rank
	Route    string // Calls of one route take about the same time; may be empty.
	Deadline time.Time
	Target   time.Time        // Time until which an answer is worth most; zero means the deadline.
	Avoid    []netip.AddrPort // Backend servers that the call must not use.

	assumedWork time.Duration // Work that is assumed while none of its kind has ended.
}

// Kind says what a Reply means.
type Kind uint8

// The kinds of replies.
const (
	Queued   Kind = iota // The ask waits for a slot.
	Offered              // The slot of Server is granted.
	Refused              // The ask gets no slot.
	Recalled             // The slot that the entry keeps is needed.
)

// Reply answers an ask.
type Reply struct {
	Number uint64
	Kind   Kind
	Server netip.AddrPort
	Pace   float64       // Pace of the server that decided; 0 when unknown.
	Age    time.Duration // Age of the report of the pace.
	Keep   bool          // The entry may keep the slot for its next call.
	Reason string
	After  time.Duration // Time before another try makes sense.
}
