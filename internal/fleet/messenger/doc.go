// Package messenger defines the protobuf messages between instances and their
// framing on a stream. Regenerate messenger.pb.go with
//
//	go tool -modfile=tools/proto/go.mod buf generate --template tools/proto/buf.gen.yaml -o internal/fleet/messenger internal/fleet/messenger
package messenger
