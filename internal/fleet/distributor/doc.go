// Package distributor distributes the configuration bundle from instance to
// instance, so that only some instances need to read it from its source.
//
// Each instance announces the version of the bundle that it has in force: with
// every heartbeat, and at once when the bundle changes. An instance that receives
// the announcement of a higher version pulls that bundle from the announcing
// instance. It sends a Pull without sums, receives the manifest, which lists the
// sums (hashes) of all sections, and then sends a Pull with the sums of the
// sections that it does not have. A section is the configuration of one service.
package distributor
