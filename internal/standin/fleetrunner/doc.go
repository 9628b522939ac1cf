// Package fleetrunner runs only the fleet part of instances, which is membership and
// the links between instances, over real loopback connections. Tests of packages
// that need a fleet use it.
package fleetrunner
