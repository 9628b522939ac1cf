// Package sampler reads the processor time and memory of processes and of the
// whole machine from /proc, and metrics from the operators' listeners.
package sampler
