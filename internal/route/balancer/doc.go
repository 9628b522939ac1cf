// Package balancer decides how an entry divides the calls of a service between its
// own availability zone and the others: which pool a call asks first, and which other
// pools it asks when the first has queued or refused the request.
//
// The decisions follow from the loads that the homes of the pools report, the round
// trips to them and the bytes of the calls. The cost of a crossing is the time and the
// price of the bytes that a call needs to run in another zone, as a delay. The share
// of a pool is the part of the calls of a route that asks this pool first although
// it is in another zone.
//
// The package has no I/O and reads no clock.
package balancer
