package runner

import (
	"runtime/debug"

	"sardinelever.example/sardinelever/internal/route/router"
)

// usesBulkSettings reports whether the settings collect, retry.hedge and zones.price have
// an effect. One rendering of the settings serves all deployments of a platform, so with a
// PlatformAdapter this is the case only while the configuration marks a rule as bulk.
func (c *components) usesBulkSettings() bool {
	return c.platform == nil || c.routingTable.Load().HasBulkRules
}

// defaultCollect is the Go runtime's own value.
const defaultCollect = 100

// applyCollect sets the growth of the heap between garbage collections that the settings
// and table call for.
func (c *components) applyCollect(table *router.RoutingTable) {
	collect := c.settings.Collect
	if c.platform != nil && !table.HasBulkRules {
		collect = defaultCollect
	}
	if collect > 0 && collect != c.appliedCollect {
		c.appliedCollect = collect
		debug.SetGCPercent(collect)
	}
}
