// Package launcher starts entry instances as real processes for tests and
// measurements, and kills, pauses and stops them.
package launcher
