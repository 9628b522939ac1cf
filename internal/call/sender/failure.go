package sender

import (
	"fmt"
	"net/http"

	"sardinelever.example/sardinelever/internal/call/translator"
)

// Outcome states whether a call without a complete response was run.
type Outcome = translator.Outcome

// The outcomes of a call without a complete response.
const (
	Rejected = translator.Rejected
	Unknown  = translator.Unknown
	Failed   = translator.Failed
)

// Failure is the error of an attempt that did not return a usable response.
type Failure struct {
	Outcome Outcome
	Reason  string // One word; the package comment lists those of this package.
	Err     error
}

// Error returns the outcome, the reason and the underlying error.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %s: %v", f.Outcome, f.Reason, f.Err) }

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// StatusCode returns the HTTP status code with which f is reported to the caller.
func (f *Failure) StatusCode() int {
	switch {
	case f.Reason == "deadline":
		return http.StatusGatewayTimeout
	case f.Outcome == Rejected:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}
