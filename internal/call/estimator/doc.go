// Package estimator estimates percentiles of recent latencies.
package estimator
