// Package answerer is the last filter of a call: it copies the whole answer to
// the caller, makes a cut answer visible, or reports the outcome of a call that
// has no answer.
package answerer
