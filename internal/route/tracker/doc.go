// Package tracker keeps the state of the backend servers of one pool: calls in
// flight, expected latency, failures and ejection, drain, limit and load
// reports. It reads no clock; each method takes the time.
package tracker
