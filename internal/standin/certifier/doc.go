// Package certifier makes certificate authorities and key files for tests of
// links between instances.
package certifier
