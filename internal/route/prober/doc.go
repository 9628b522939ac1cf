// Package prober measures backend servers by probes within a budget that the
// whole fleet keeps without talking to each other: time slots of the wall
// clock and rendezvous order decide which instance may probe a backend server.
package prober
