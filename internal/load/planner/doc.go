// Package planner draws the arrival times and service times of the calls of a
// trial, and the times in which backend servers are slow, from a seed before the
// trial starts, so that every dispatch policy is measured with the same load.
//
// Calls arrive in streams, each a Poisson process with its own service, rate and
// lognormal service time. Rank is the priority of a call: urgent, normal or
// patient.
package planner
