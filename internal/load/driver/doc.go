// Package driver is an open-loop load generator: it sends each planned call of a
// trial at its intended time, whether or not earlier calls were answered, so
// that a slow load balancer does not lower the load that it is measured with.
//
// The calls go to the instances of the load balancer under test, which are
// chosen at random as the load balancer of a hosting platform would do. Each
// call is sent by its own goroutine, the caller, which retries it as often as
// its stream allows and hands the result to a recorder.
//
// These names in the headers of a call are fixed:
//
//   - Sardine-Rank is the priority of the call and Sardine-Deadline the time
//     that it may take, in milliseconds.
//   - Sardine-Id carries an idempotency key that an instance issued,
//     Idempotency-Key one that the caller generated. Either is the same in all
//     attempts of a call, so that the instances can recognise a repeated call.
//   - Sardine-Outcome in a response is rejected when the call did not run and
//     unknown when it may have run; Sardine-Reason gives the reason.
package driver
