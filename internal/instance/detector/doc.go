// Package detector notices that the process was paused, so that facts from
// before the pause are dropped before the next decision.
package detector
