// Package runner runs one entry instance, a process that accepts the calls of
// callers and sends each to a backend server. It creates the components of the
// instance, connects them, and controls start, readiness and shutdown.
//
// These terms appear in the status, the log and the metrics:
//   - A slot is the right to have one call in flight at a backend server.
//   - A pool is the backend servers of one service in one availability zone; a
//     large pool is split into shards.
//   - The home of a pool is the instance that grants its slots.
//   - The rank of a call is its priority class: urgent, normal or patient.
//   - A bundle is one version of the configuration of all services.
//   - The list is the platform's list of instances and backend servers.
//   - The place of an identified call is the only instance that may execute it.
package runner
