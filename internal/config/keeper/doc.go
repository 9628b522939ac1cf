// Package keeper holds the configuration in force on an instance. It accepts
// only bundles that are valid and higher in the order of versions, so the
// configuration never reverts to an older one.
package keeper
