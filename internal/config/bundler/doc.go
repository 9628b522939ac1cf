// Package bundler collects service files into one versioned bundle, compares
// bundles and splits them into sections that instances send to each other.
package bundler
