// Package bounder computes the latencies that one central queue with perfect
// knowledge of the free slots gives to planned calls. They bound what any
// dispatch with less knowledge can reach.
package bounder
