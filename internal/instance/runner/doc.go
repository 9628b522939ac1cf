// Package runner runs one entry instance: it wires the filters of a call to what
// the instance knows of the platform and of the other instances, and handles
// start, readiness and shutdown.
package runner
