// Package messenger defines the protobuf messages that instances exchange, and
// reads and writes them on streams. A message on a stream is preceded by its
// length as a varint.
//
// A Control message carries membership (Heartbeat, Gossip, Roster), configuration
// (Version, Pull, Manifest, Sections) or probe results (Figures). A Grant message
// requests or assigns a slot, the permission for one call to a backend server. A
// Feed message carries records of the platform's store. File messenger.proto
// describes each message.
//
// Regenerate messenger.pb.go with
//
//	go tool -modfile=tools/proto/go.mod buf generate --template tools/proto/buf.gen.yaml -o internal/fleet/messenger internal/fleet/messenger
package messenger
