// Package asker obtains slots of backend servers for calls.
package asker
