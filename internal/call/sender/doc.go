// Package sender sends a call to a backend server once and knows, when that
// fails, whether the backend server can have run it.
package sender
