package runner

import "runtime/debug"

const (
	// defaultCollect is the value of the Go runtime.
	defaultCollect = 100
	// maxCollectServers is the number of listed backend servers up to which the setting
	// collect counts. Each change of the list allocates in proportion to its length: with
	// 1,000 servers, collect = 25 doubled the processor time of an instance.
	maxCollectServers = 500
)

// applyCollect sets the growth of the heap between garbage collections. The caller holds
// rebuildMu.
func (c *components) applyCollect(servers int) {
	collect := c.settings.Collect
	if collect == 0 {
		return
	}
	if servers > maxCollectServers {
		collect = defaultCollect
	}
	if collect != c.appliedCollect {
		c.appliedCollect = collect
		debug.SetGCPercent(collect)
	}
}
