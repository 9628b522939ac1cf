// Package recorder keeps what became of each call of a trial and prints it as
// tables, verdicts and a plot of latency over time.
package recorder
