// Package hasher ranks instance names for a key by rendezvous hashing (Thaler
// and Ravishankar, 1998), also known as highest random weight hashing. All
// instances that hold the same set of names compute the same ranking without
// communication, and adding or removing a name changes the owner only of the
// keys that the name gains or loses.
package hasher
