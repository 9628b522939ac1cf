// Package logger writes log lines without blocking their callers. It drops lines
// that come too fast for the output.
package logger
