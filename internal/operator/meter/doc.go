// Package meter defines the metrics of an instance and registers them.
package meter
