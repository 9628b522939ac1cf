// Package registrar maintains the membership of the fleet: which entry instances
// exist and which of them are alive. It combines the instance list of the
// platform, which lags behind, with heartbeats, gossip and dials between the
// instances, as in SWIM and related failure detectors.
//
// Table is the state machine of the membership; it has no goroutines and no
// clock. ListHistory is the list of the platform with its recent changes.
// Registrar connects both to the network: it sends heartbeats to the neighbours
// on a few rings and dials members whose heartbeats are missing.
//
// Terms of the messages between instances:
//
//   - Incarnation: the start time of a process. It tells a restarted instance
//     from its earlier process of the same name.
//   - Sequence: the number of a heartbeat within one incarnation. Gossip with a
//     higher sequence number refutes a suspicion.
//   - Gossip: the state of another member, carried by a heartbeat. It has no
//     address, so it applies only to members that the receiver knows.
//   - Roster: the alive members as one instance knows them. Instances exchange
//     rosters when the platform provides no list and seeds are configured.
//   - Silent: suspected to have failed. Members are alive, suspect, gone (a
//     suspect for Timeouts.Gone) or leaving (shutting down).
//   - Peer (PeerAddr in Go): the address at which an instance accepts other
//     instances.
//
// The home of a pool of backend servers is the instance that grants slots on
// them. Registrar.UsableMembers returns the instances that may act as home.
package registrar
