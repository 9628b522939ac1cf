package runner

// usesBulkSettings reports whether the settings retry.hedge and zones.price have an effect.
// One rendering of the settings serves all deployments of a platform, so with a
// PlatformAdapter this is the case only while the configuration marks a rule as bulk.
func (c *components) usesBulkSettings() bool {
	return c.platform == nil || c.routingTable.Load().HasBulkRules
}
