package translator

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// ErrHeader reports a header of a caller's request that is invalid.
var ErrHeader = errors.New("header is invalid")

// Dialect is a form of calls and answers on the wire. Its methods are safe for
// concurrent use.
type Dialect interface {
	// Read returns what a caller's request says about the call. The error wraps ErrHeader.
	Read(r *http.Request) (Hints, error)
	// Write sets the headers of a request to a backend server.
	Write(h http.Header, o Onward)
	// Signals returns what an answer says about itself and its backend server.
	Signals(status int, h http.Header) Signals
	// Mark prepares the headers of an answer for the caller of instance.
	Mark(status int, h http.Header, instance string)
	// Report sets the headers of a report and returns its status code.
	Report(h http.Header, r Report, instance string) int
}

// Hints is what a caller's request says about the call.
type Hints struct {
	Rank     parser.Rank   // Least urgent rank that the caller allows.
	Left     time.Duration // Time for which the caller waits; negative when it does not say.
	Depth    int           // Levels of calls above this one.
	Attempt  int           // The caller's number of this attempt, from 1.
	Budget   int           // Retries that the call and all calls below it may still use; negative when the caller does not say.
	Identity string        // Identity that keeps the call from running twice in the fleet; may be empty.
	ID       string        // Name of this attempt in logs, echoed by backend servers; may be empty.
}

// Onward is what a backend server is told about a call.
type Onward struct {
	Rank     parser.Rank
	Left     time.Duration // Time until the deadline of the call.
	Depth    int           // Levels of calls above the backend server.
	Attempt  int
	Budget   int
	Identity string
	Server   string // Name of the only backend server that may run the call; empty means any at the address.
}

// Signals is what an answer says about itself and its backend server.
type Signals struct {
	Refused bool // The backend server states that it did not run the call.
	Moved   bool // Another backend server has the address; it did not run the call.
	// Unproven is set when the status says that the call did not run, without the proof.
	Unproven bool
	Drain    bool          // The backend server asks for no new calls.
	Busy     int           // Calls that run on it, -1 when unknown.
	Waiting  int           // Calls that wait on it.
	Pace     float64       // Time that work takes on it now, relative to its usual time; 0 when unknown.
	ID       string        // Attempt that the answer belongs to; empty when it does not say.
	Idle     time.Duration // Idle time after which the backend server closes the connection; 0 when unknown.
}

// Load returns the calls that run or wait on the backend server, -1 when unknown.
func (s *Signals) Load() int {
	if s.Busy < 0 {
		return s.Busy
	}
	return s.Busy + s.Waiting
}

// Report is what a caller is told about a call that has no answer.
type Report struct {
	Outcome Outcome
	Status  int           // Status code of the product's own form.
	Reason  string        // One word.
	Detail  string        // For people; may be empty.
	After   time.Duration // Time after which a rejected call has better chances.
}

// Retries reports whether the caller may usefully send the same call again.
func (r *Report) Retries() bool {
	return r.Outcome == Rejected && r.Status >= http.StatusInternalServerError
}
