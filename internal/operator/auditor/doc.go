// Package auditor keeps the audit trail of changes that an instance made or
// saw: a bounded ring in memory and a line in the log for each.
package auditor
