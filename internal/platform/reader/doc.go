// Package reader reads what the platform offers: the configuration service
// and the list of live and leaving instances and backend servers. Both can
// only be read.
package reader
