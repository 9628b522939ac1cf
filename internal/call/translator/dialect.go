package translator

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// ErrInvalidHeader is the error of a caller's request with an invalid header.
var ErrHeader = errors.New("header is invalid")

// Dialect maps the parameters and outcomes of calls to HTTP headers and status
// codes. Its methods are safe for concurrent use.
type Dialect interface {
	// ParseRequest returns the parameters of the call in a caller's request. The
	// error wraps ErrInvalidHeader.
	Read(r *http.Request) (Hints, error)
	// SetRequestHeaders sets the headers of a request to a backend server.
	Write(h http.Header, o Onward)
	// ParseResponse returns what the status and the headers of a response say
	// about the response and its backend server.
	Signals(status int, h http.Header) Signals
	// SetResponseHeaders changes the headers of a backend server's response to
	// those that instance sends to the caller.
	Mark(status int, h http.Header, instance string)
	// SetReportHeaders sets the headers of an error report to the caller and
	// returns its status code.
	Report(h http.Header, r Report, instance string) int
}

// RequestMetadata holds the parameters of the call in a caller's request.
type Hints struct {
	Rank     parser.Rank   // Least urgent rank that the caller allows.
	Left     time.Duration // Time for which the caller waits; negative when it is not given.
	Depth    int           // Number of calls above this one in the chain of calls.
	Attempt  int           // Number of the caller's attempt, from 1.
	Budget   int           // Retries that the call and all calls below it may still use; negative when it is not given.
	Identity string        // Key by which the instances prevent the call from running twice; may be empty.
	ID       string        // Identifies this attempt in logs; backend servers return it; may be empty.
}

// ForwardMetadata holds the parameters of a call that are sent to a backend server.
type Onward struct {
	Rank     parser.Rank
	Left     time.Duration // Time until the deadline of the call.
	Depth    int           // Number of calls above that of the backend server in the chain of calls.
	Attempt  int
	Budget   int
	Identity string
	Server   string // Name of the only backend server that may run the call; empty means the one at the address.
}

// ResponseMetadata holds what the status and the headers of a response say about
// the response and its backend server.
type Signals struct {
	Refused bool // The backend server states that it did not run the call.
	Moved   bool // Another backend server now has the address; it did not run the call.
	// UnprovenRefusal is set when the status says that the call did not run, and
	// the header that proves it is missing.
	Unproven bool
	Drain    bool          // The backend server asks for no new calls.
	Busy     int           // Calls that run on the backend server; -1 when unknown.
	Waiting  int           // Calls that wait on the backend server.
	Pace     float64       // Time that work takes now on the backend server, relative to its usual time; 0 when unknown.
	ID       string        // Identifies the attempt that the response belongs to; empty when it is not given.
	Idle     time.Duration // Idle time after which the backend server closes the connection; 0 when unknown.
}

// CallCount returns the number of calls that run or wait on the backend server, or
// -1 when it is unknown.
func (s *Signals) Load() int {
	if s.Busy < 0 {
		return s.Busy
	}
	return s.Busy + s.Waiting
}

// ErrorReport is what a caller is told about a call without a response.
type Report struct {
	Outcome Outcome
	Status  int           // Status code in the dialect Native.
	Reason  string        // One word.
	Detail  string        // Text for people; may be empty.
	After   time.Duration // Shortest time after which the caller should retry a rejected call.
}

// IsRetryable reports whether the same call may succeed when the caller sends it
// again: it was not run, and the request is not at fault.
func (r *Report) Retries() bool {
	return r.Outcome == Rejected && r.Status >= http.StatusInternalServerError
}
