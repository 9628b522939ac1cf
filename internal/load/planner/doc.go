// Package planner draws the arrivals and service times of a trial from a seed,
// before the trial starts, so that each policy meets the same calls.
package planner
