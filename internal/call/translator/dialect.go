package translator

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// ErrInvalidHeader is the error of a caller's request with an invalid header.
var ErrInvalidHeader = errors.New("header is invalid")

// Dialect maps the parameters and outcomes of calls to HTTP headers and status
// codes. Its methods are safe for concurrent use.
type Dialect interface {
	// ParseRequest returns the parameters of the call in a caller's request. The
	// error wraps ErrInvalidHeader.
	ParseRequest(r *http.Request) (RequestMetadata, error)
	// SetRequestHeaders sets the headers of a request to a backend server.
	SetRequestHeaders(h http.Header, m ForwardMetadata)
	// ParseResponse returns what the status and the headers of a response say
	// about the response and its backend server.
	ParseResponse(status int, h http.Header) ResponseMetadata
	// SetResponseHeaders changes the headers of a backend server's response to
	// those that instance sends to the caller.
	SetResponseHeaders(status int, h http.Header, instance string)
	// SetReportHeaders sets the headers of an error report to the caller and
	// returns the status code to send.
	SetReportHeaders(h http.Header, r ErrorReport, instance string) int
}

// RequestMetadata holds the parameters of the call in a caller's request.
type RequestMetadata struct {
	Rank           parser.Rank   // Rank set by the caller, which can only lower the rank of the configuration; Urgent leaves it unchanged.
	Remaining      time.Duration // Time for which the caller waits; negative when it is not given.
	Depth          int           // Number of calls above this one in the chain of calls.
	Attempt        int           // Number of the caller's attempt, from 1.
	RetryBudget    int           // Extra attempts (retries and hedges) that the call and all calls below it may still use; negative when it is not given.
	IdempotencyKey string        // Key by which the instances prevent the call from running twice; may be empty.
	RequestID      string        // Identifies this attempt in logs; backend servers return it; may be empty.
}

// ForwardMetadata holds the parameters of a call that are sent to a backend server.
type ForwardMetadata struct {
	Rank           parser.Rank
	Remaining      time.Duration // Time until the deadline of the call.
	Depth          int           // Number of calls above that of the backend server in the chain of calls.
	Attempt        int
	RetryBudget    int
	IdempotencyKey string
	ServerName     string // Name of the only backend server that may run the call; empty means any at the address.
}

// ResponseMetadata holds what the status and the headers of a response say about
// the response and its backend server.
type ResponseMetadata struct {
	Refused     bool // The backend server states that it did not run the call.
	Misdirected bool // Another backend server now has the address; it did not run the call.
	// UnprovenRefusal is set when the status says that the call did not run, and
	// the header that proves it is missing.
	UnprovenRefusal bool
	// UnprovenSuccess is set when the status says that the call succeeded, and the
	// header with which backend servers prove it is missing.
	UnprovenSuccess bool
	// Unnamed is set when backend servers return the RequestID with each response,
	// and this response has none.
	Unnamed      bool
	Draining     bool          // The backend server asks for no new calls; a probe without the signal ends this.
	Leaving      bool          // The process of the backend server gets no calls any more; nothing ends this.
	RunningCalls int           // Calls that run on the backend server; -1 when unknown.
	WaitingCalls int           // Calls that wait on the backend server.
	Slowdown     float64       // Time that work takes now on the backend server, relative to its usual time; 0 when unknown.
	ColdStated   bool          // The backend server states for how long it is cold.
	Cold         time.Duration // Time for which the backend server is still cold; 0 when it is warm.
	ServerName   string        // Name of the backend server, in responses to probes; empty when it is not given.
	RequestID    string        // Identifies the attempt that the response belongs to; empty when it is not given.
	IdleTimeout  time.Duration // Idle time after which the backend server closes the connection; 0 when unknown.
	// RetryAfter is the time for which a backend server that turned the call away
	// wants no calls and no probes from this instance; 0 means none.
	RetryAfter time.Duration
	// InvalidRetryAfter is the text of such a time that is not valid; usually empty.
	InvalidRetryAfter string
}

// IsRefusal reports whether the response says, with or without proof, that the
// backend server did not run the call.
func (m *ResponseMetadata) IsRefusal() bool {
	return m.Refused || m.Misdirected || m.UnprovenRefusal
}

// ReportedCalls returns the number of calls that run or wait on the backend
// server, or -1 when it is unknown.
func (m *ResponseMetadata) ReportedCalls() int {
	if m.RunningCalls < 0 {
		return m.RunningCalls
	}
	return m.RunningCalls + m.WaitingCalls
}

// ErrorReport is what a caller is told about a call without a response.
type ErrorReport struct {
	Outcome    Outcome
	StatusCode int           // Status code in the dialect Native.
	Reason     string        // One word.
	Detail     string        // Text for people; may be empty.
	RetryAfter time.Duration // Time after which a retry of a rejected call is more likely to succeed.
	Firm       bool          // No retry before RetryAfter can succeed.
}

// IsRetryable reports whether the same call may succeed when the caller sends it
// again: it was not run, and the request is not at fault.
func (r *ErrorReport) IsRetryable() bool {
	return r.Outcome == Rejected && r.StatusCode >= http.StatusInternalServerError
}
