// Package keeper stores the current configuration bundle of an instance. It replaces
// the bundle only by a valid one with a higher version, so the configuration never
// reverts to an older version, and all instances that are offered the same bundles end
// with the same one.
//
// # Terms of the audit entries
//
//   - The version in force is the version of the current bundle.
//   - A bundle is refused if it is invalid.
//   - Of two bundles with the same version number, the one with the higher sum wins.
//     The other one is displaced if it was the current bundle, and otherwise lost
//     against the current one.
package keeper
