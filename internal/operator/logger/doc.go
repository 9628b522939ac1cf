// Package logger writes log lines without ever blocking who logs.
package logger
