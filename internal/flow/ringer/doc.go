// Package ringer keeps the latest values of a series, such as audit entries, in
// bounded memory.
package ringer
