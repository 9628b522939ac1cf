// Package sampler measures the resources that a trial uses: it reads the
// processor time and memory of processes and the processor time of the machine
// from /proc, and counters from the Prometheus metrics pages of instances.
package sampler
