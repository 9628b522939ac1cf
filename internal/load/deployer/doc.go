// Package deployer starts a complete deployment on loopback for one trial:
// instances as real processes, and stand-ins in the trial's own process for the
// platform and for the backend servers.
//
// A Deployment describes the services and their backend servers. A Cluster runs
// one: it starts the stand-ins and the instances, publishes the platform's list
// and ends, replaces or separates instances during the trial.
//
// # Terms
//
//   - The names association and fondantier select a deployment on the command
//     line; NewNamedDeployment describes both.
//   - The platform's list names each instance and backend server with its
//     addresses, its availability zone and whether it is leaving.
//   - Each call has a rank, urgent, normal or patient, which its path selects:
//     /lookup, /book or /bulk.
//   - A slot of a backend server carries one call at a time.
package deployer
