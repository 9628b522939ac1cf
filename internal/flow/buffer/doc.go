// Package buffer provides a ring buffer for the latest values of a series, such as
// the entries of an audit trail.
package buffer
