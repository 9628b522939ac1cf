// Package recorder collects the result of each call of a trial and reports it as
// a table per stream, a list of the most frequent failures and a plot of latency
// over time.
//
// Latency is counted from the intended send time of a call, not from the time
// when it was sent, so that a delay of the driver counts too.
//
// The reports name outcomes as the callers see them:
//
//   - served: the whole answer to the call arrived.
//   - not run: an instance rejected the call; no backend server ran it.
//   - unknown: an instance reported that the call may have run.
//   - failed: an instance or the backend server responded with an error.
//   - cut: the connection broke or no response arrived in time.
//   - foreign: the answer belongs to another call or is incomplete.
package recorder
