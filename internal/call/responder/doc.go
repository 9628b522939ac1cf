// Package responder writes the response to the caller, as the last step of a call.
// It copies the response of a backend server, or reports the outcome and the
// reason of a call without one.
//
// When the response of the backend server breaks off, the caller's connection is
// aborted, so that the caller does not take the part for a complete response. A
// call without a response has one of three outcomes, which the dialect puts into
// headers: rejected (not run), unknown (may have run) and failed (ran and failed).
package responder
