// Package ringer holds bounded rings that join the duties of an instance.
package ringer
