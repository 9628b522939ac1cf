// Package router builds the routing table of an instance: an immutable join of
// the bundle, which is the configuration in force, and the platform's list of
// backend servers. A rule of the bundle can split the calls of a host and path
// among several services by weight; each share is a part.
package router
