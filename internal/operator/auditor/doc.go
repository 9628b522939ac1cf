// Package auditor keeps the audit trail of the changes that an instance made or
// observed. It writes a log line for each change and keeps the latest ones in
// memory.
package auditor
