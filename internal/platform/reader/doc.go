// Package reader reads the platform's configuration service and its list of
// instances and backend servers over HTTP. Both are read-only for this product.
//
// The configuration service holds one value, the bundle: the configuration of the
// whole fleet as text, with a revision that changes with each publication. An
// entry of the list is marked as leaving when the instance or backend server is
// about to stop.
package reader
