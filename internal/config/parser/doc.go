// Package parser decodes and checks the TOML files of the load balancer: the
// settings of an instance, service files, which operators write, and bundles, which
// are made of service files and published to all instances. It rejects unknown keys
// and reports every mistake with file, line and key.
//
// # Terms of the files
//
//   - The callers of an instance send calls, which it forwards to the backend
//     servers of services. Its peers are the other instances.
//   - A slot is the capacity of a backend server to run one call at a time.
//   - The rank of a call is its priority: urgent, normal or patient.
//   - A floor is the share of the slots that is reserved for a rank when calls of
//     higher ranks would use all of them.
//   - A probe is a request that measures the load of a backend server. Cost is the
//     time that it takes from the server; budget and total limit the sum of the
//     costs.
//   - The routes of a service assign rank, deadline and idempotence by method and
//     path. The rules of a bundle do so by host and path and divide the calls among
//     services, one part for each service.
//   - The version of a bundle rises with each publication. Its parent is the
//     version from which it was made.
//   - The platform is the system that lists instances and backend servers and
//     delivers the bundles.
//
// # Names in messages
//
// For a value of a wrong type, the TOML decoder names the Go type and field, for
// example "cannot decode TOML string into struct field parser.Service.Connections of
// type int". The names of this package, of the decoded types and of their fields are
// therefore part of messages that users see.
package parser
