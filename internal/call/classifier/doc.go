// Package classifier is the first step of a call: it finds the rule, or the
// service and its route, that a request matches, and determines the parameters of
// the call from the configuration and from the caller's headers.
//
// The parameters are rank (urgent, normal or patient), deadline, target time,
// depth (the number of calls above this one in a chain of calls), number of the
// attempt, retry budget and idempotency key. A caller may shorten the deadline
// and lower the rank that the configuration gives, and not the reverse.
package classifier
