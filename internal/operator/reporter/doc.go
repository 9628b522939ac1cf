// Package reporter is the HTTP handler for operators of an instance. It serves
// readiness, status, the audit trail and the explanation of a call as plain text,
// and also metrics and profiles.
package reporter
