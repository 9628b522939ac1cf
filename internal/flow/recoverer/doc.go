// Package recoverer keeps a panic in one call, stream or message from ending the
// process.
package recoverer
