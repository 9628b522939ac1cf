package sender

import (
	"fmt"
	"net/http"

	"sardinelever.example/sardinelever/internal/call/translator"
)

// Outcome says whether a call that got no whole answer was run.
type Outcome = translator.Outcome

// The outcomes of a call without a whole answer.
const (
	Rejected = translator.Rejected
	Unknown  = translator.Unknown
	Failed   = translator.Failed
)

// Failure is the error of a call that got no answer.
type Failure struct {
	Outcome Outcome
	Reason  string // One word: connect, refused, moved, write, read, protocol, foreign, deadline, gone.
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
