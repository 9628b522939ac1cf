// Package provisioner runs the surroundings of the instances inside one process for
// tests and trials: stand-ins for the platform and for the backend servers, on
// loopback addresses.
package provisioner
