// Package fleeter runs the fleet part of instances, with real connections on
// loopback addresses, for tests of the packages above it.
package fleeter
