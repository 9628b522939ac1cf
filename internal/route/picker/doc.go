// Package picker chooses one of several candidates for a call, usually backend
// servers with free slots: the one with the lowest score, or the choice of a
// baseline policy (random, round robin, least outstanding) in measurements.
package picker
