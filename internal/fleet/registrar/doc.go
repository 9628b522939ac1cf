// Package registrar knows which entry instances exist: the platform's list,
// which lags, corrected by what instances hear from each other.
package registrar
