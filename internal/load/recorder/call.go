package recorder

import (
	"time"

	"sardinelever.example/sardinelever/internal/load/planner"
)

// Outcome is what the caller of a trial learned of a call.
type Outcome uint8

// The outcomes as a caller sees them.
const (
	Served  Outcome = iota
	NotRun          // Reported as rejected.
	Unknown         // Reported as unknown.
	Failed          // Reported as failed, or an error of the backend server.
	Cut             // The connection broke or no answer came in time.
	Foreign         // The answer belongs to another call or is not whole.
	numOutcomes
)

// Attempt is one try of a call.
type Attempt struct {
	Token    string
	Start    time.Time
	Instance string // URL of the instance that the caller called.
	Outcome  Outcome
	Reason   string
}

// Call is one planned call with what became of it.
type Call struct {
	Arrival  *planner.Arrival
	Name     string
	Start    time.Time     // Intended send time.
	Latency  time.Duration // From the intended send time to the end of the last attempt.
	Took     time.Duration // Time of a served call at its backend server.
	Attempts []Attempt
}

// Outcome returns the outcome of the last attempt.
func (c *Call) Outcome() Outcome { return c.Attempts[len(c.Attempts)-1].Outcome }

// End returns when the call ended.
func (c *Call) End() time.Time { return c.Start.Add(c.Latency) }

// unservedLatency is the latency with which a call without a deadline of its own
// counts when it was not served.
const unservedLatency = 10 * time.Second

// penalizedLatency is the latency of a served call; another call counts with its deadline
// at least, so that refusing calls does not improve a percentile.
func (c *Call) penalizedLatency() time.Duration {
	if c.Outcome() == Served {
		return c.Latency
	}
	d := c.Arrival.Stream.Deadline
	if d == 0 {
		d = unservedLatency
	}
	return max(d, c.Latency)
}
