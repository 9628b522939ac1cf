// Package driver sends the planned calls of a trial open loop: each at its
// intended time, whether or not earlier calls were answered.
package driver
