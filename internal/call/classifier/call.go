package classifier

import (
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/mapper"
)

// Call is what the filters know of one call.
type Call struct {
	Service    *mapper.Service
	Rule       *mapper.Rule // nil when a route of the service decides.
	Route      string       // Name of the rule or path of the route; empty when none matches.
	Rank       parser.Rank
	Idempotent bool
	Deadline   time.Time
	Target     time.Time // Time until which an answer is worth most; may be after the deadline.
	Depth      int       // Levels of calls above this one.
	Budget     int       // Retries that this call and all calls below it may still use.
	Attempt    int       // The caller's number of this attempt, from 1.
	Identity   string    // Empty when the caller gave none.
	ID         string    // Name of this attempt of the caller in logs; may be empty.
	Path       string    // Path at the backend server.
}
