// Package detector detects that the process was paused, for example by SIGSTOP or
// a suspended machine, so that data from before the pause can be discarded before
// the next decision.
package detector
