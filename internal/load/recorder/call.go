package recorder

import (
	"time"

	"sardinelever.example/sardinelever/internal/load/planner"
)

// Outcome is the result of an attempt or a call as its caller sees it.
type Outcome uint8

// The outcomes, in the order of the columns of WriteTable. Reports print some
// outcomes as numbers, so the order is fixed.
const (
	Served        Outcome = iota // The whole answer to the call arrived.
	NotRun                       // The instance reported that the call was rejected.
	Unknown                      // The instance reported that the call may have run.
	Failed                       // Any other response with a status that is not 200.
	NoResponse                   // The connection broke or no response arrived in time.
	WrongResponse                // The answer belongs to another call or is incomplete.
	numOutcomes
)

// Attempt is one attempt of a call.
type Attempt struct {
	Token    string    // Unique name of the attempt, which its requests carry.
	Start    time.Time // Actual send time.
	Instance string    // Base URL of the instance that the caller tried last.
	Outcome  Outcome
	Reason   string // Status and reason in the response, or the error; empty if served.
}

// Call is one planned call with its result.
type Call struct {
	Arrival    *planner.Arrival
	Name       string        // Unique name, the same in all attempts.
	Start      time.Time     // Intended send time.
	Latency    time.Duration // From the intended send time to the end of the last attempt.
	ServerTime time.Duration // Time that a served call ran on its backend server.
	Attempts   []Attempt
}

// Outcome returns the outcome of the last attempt.
func (c *Call) Outcome() Outcome { return c.Attempts[len(c.Attempts)-1].Outcome }

// End returns the end of the last attempt.
func (c *Call) End() time.Time { return c.Start.Add(c.Latency) }

// unservedLatency is the least latency that an unserved call counts with if its
// stream leaves the deadline to the route.
const unservedLatency = 10 * time.Second

// penalizedLatency returns the latency of a served call. For any other call it
// returns at least the deadline, so that rejecting calls does not improve a
// percentile.
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
