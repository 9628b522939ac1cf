// Package linter finds what a valid configuration says without effect or in
// contradiction: entries that no call can match, parts without calls, and limits of
// which one prevents the other. Its findings are warnings: a configuration with them is
// accepted by all instances.
package linter
