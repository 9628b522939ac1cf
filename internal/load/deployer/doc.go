// Package deployer starts a deployment for a trial on loopback: real instance
// processes, the platform's stand-in and stand-in backend servers.
package deployer
