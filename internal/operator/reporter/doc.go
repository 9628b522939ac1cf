// Package reporter serves the operators' listener: readiness, status, audit
// trail and explanations as plain text, metrics and profiles.
package reporter
