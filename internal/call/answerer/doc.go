// Package answerer is the last filter of a call: it copies the answer to the
// caller or reports the outcome of a call that has none.
package answerer
