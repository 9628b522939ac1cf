package allocator

import (
	"net/netip"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// Reasons of a refusal. They are sent to the entry and shown to operators.
const (
	ReasonFull = "full" // The queue of the rank is full.
	ReasonLate = "late" // The call would miss its deadline or its target.
	ReasonNone = "none" // No backend server is allowed to run the call.
)

// ReplyReceiver receives the replies to the slot requests of one owner, such as
// the grant stream of an entry. ReceiveReply is called by the goroutine of a
// pool; it must not block or call the Allocator.
type ReplyReceiver interface {
	ReceiveReply(r Reply)
}

// ID identifies a slot request and the grant that results from it. Number is
// unique for its Owner.
type ID struct {
	Owner  ReplyReceiver
	Number uint64
}

// SlotRequest is a request for a slot on a backend server of a pool.
type SlotRequest struct {
	ID
	Rank     parser.Rank
	Route    string // Calls of one route are expected to take similar time; may be empty.
	Deadline time.Time
	Target   time.Time        // Time by which the caller prefers an answer; zero means the deadline.
	Avoid    []netip.AddrPort // Backend servers that the call must not use.
	Extra    bool             // The call asked another pool first.
	Hedge    bool             // The attempt overlaps another one of its call: it is refused unless a slot is free now.

	assumedWork time.Duration // Work that is assumed while no call of the route or rank has ended.
}

// ReplyKind is the type of a Reply.
type ReplyKind uint8

// The kinds of replies.
const (
	ReplyQueued   ReplyKind = iota // The request waits for a slot.
	ReplyOffered                   // A slot of Server is granted.
	ReplyRefused                   // The request gets no slot; Reason says why.
	ReplyRecalled                  // The slot that the entry keeps for its next call must be returned.
)

// Reply is an answer to a slot request, or the recall of a kept slot.
type Reply struct {
	Number uint64
	Kind   ReplyKind
	Server netip.AddrPort
	// Name and ProcessStart are those of the server if the service has several at Server.
	Name         string
	ProcessStart uint64
	Slowdown     float64       // Reported slowdown of Server at the grant; 0 when unknown.
	SlowdownAge  time.Duration // Age of the report that gave the slowdown.
	Cold         bool          // Server is cold, so the call must start within MaxColdDelay.
	Wait         time.Duration // Time from the receipt of the request to the grant, if Cold is set.
	MayKeep      bool          // The entry may keep the slot for its next call.
	Reason       string
	RetryAfter   time.Duration // Suggested delay before a retry of a refused request.
	Load         *Load         // Load of the pool; nil when it is not reported.
}
