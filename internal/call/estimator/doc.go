// Package estimator estimates the 95th percentile of recent call latencies from
// histograms over a sliding time window.
package estimator
