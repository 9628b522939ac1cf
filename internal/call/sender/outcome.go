package sender

import (
	"fmt"
	"net/http"
)

// Outcome says whether a call that got no whole answer was run.
type Outcome uint8

// The outcomes of a call without a whole answer.
const (
	Rejected Outcome = iota // Provably not run.
	Unknown                 // May have run.
	Failed                  // Ran, and its answer says so or was cut off.
)

// String returns the value of the Sardine-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Rejected:
		return "rejected"
	case Failed:
		return "failed"
	default:
		return "unknown"
	}
}

// Failure is the error of a call that got no answer.
type Failure struct {
	Outcome Outcome
	Reason  string // One word: connect, refused, write, read, protocol, deadline, gone.
	Err     error
}

// Error returns outcome, reason and cause.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %s: %v", f.Outcome, f.Reason, f.Err) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Status returns the status code that reports f to the caller.
func (f *Failure) Status() int {
	switch {
	case f.Reason == "deadline":
		return http.StatusGatewayTimeout
	case f.Outcome == Rejected:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}
