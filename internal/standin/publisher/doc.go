// Package publisher is a stand-in for the platform in tests: a configuration
// service with revisions and watches, and a list that lags.
package publisher
