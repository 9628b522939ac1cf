// Package registrar knows which entry instances exist: the platform's list,
// which lags, corrected by what instances hear from each other.
//
// Table holds the decisions as state without goroutines or clock, Roster the
// believed list and its history, and Registrar the heartbeats between them.
package registrar
