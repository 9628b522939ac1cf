// Package launcher builds the sardinelever binary and runs instances of it as
// operating system processes, which tests and measurements can stop, pause and
// kill.
package launcher
