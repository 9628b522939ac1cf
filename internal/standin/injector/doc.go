// Package injector simulates network faults on TCP connections in tests.
//
//   - Proxy silences, delays or closes all of its connections at once.
//   - FaultInjector resets or stalls a connection after a given number of bytes.
//   - DirectionalProxy drops the bytes of one direction only.
//   - PartitionedStreamOpener blocks the streams from one instance to given
//     addresses, without a proxy.
package injector
