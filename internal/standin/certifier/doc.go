// Package certifier creates certificate authorities and signed certificates for
// tests of the TLS links between instances.
package certifier
