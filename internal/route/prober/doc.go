// Package prober measures the load of backend servers by probes: GET requests
// to the load endpoint of a server. The probes of all instances together stay
// within a budget, although the instances do not communicate about it. The budget
// is the time per second that probes may take from one backend server, and from
// all backend servers of a service together. Wall-clock
// time is divided into time slots of one probe period, and rendezvous hashing of
// the server and the number of the time slot selects the one instance that may
// probe the server in that time slot.
//
// A time slot is not a slot of a backend server, which is its capacity to run
// one more call at the same time. Probe results report such slots.
package prober
