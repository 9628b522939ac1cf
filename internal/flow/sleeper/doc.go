// Package sleeper waits for a time unless a context ends before.
package sleeper
