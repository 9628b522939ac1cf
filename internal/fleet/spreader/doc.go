// Package spreader spreads the configuration between instances: versions go out
// with heartbeats and at once on change; an instance that is behind pulls the
// manifest and then the sections that it lacks.
package spreader
