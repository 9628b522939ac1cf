package classifier

import (
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/router"
)

// Call holds the parameters of one call.
type Call struct {
	Service        *router.Service
	Rule           *router.Rule // nil when the configuration has no rules; then the route applies.
	RouteName      string       // Name of the rule or path of the route; empty when no route matches.
	Rank           parser.Rank
	Idempotent     bool
	Deadline       time.Time
	TargetTime     time.Time // Time by which the caller prefers a response; may be after the deadline.
	Depth          int       // Number of calls above this one in the chain of calls.
	RetryBudget    int       // Extra attempts (retries and hedges) that this call and all calls below it may still use.
	Attempt        int       // Number of the caller's attempt, from 1.
	IdempotencyKey string    // Empty when the caller sent none.
	RequestID      string    // Identifies the caller's attempt in logs; may be empty.
	Path           string    // Path of the request to the backend server.
}
