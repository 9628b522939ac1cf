// Package placer places keys on instances by rendezvous hashing (Thaler and
// Ravishankar, 1998): every instance with the same names computes the same
// order, and a change of one name moves only the keys of that name.
package placer
