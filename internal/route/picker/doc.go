// Package picker chooses a backend server among candidates: by the lowest
// score, or by one of the baseline policies.
package picker
