package allocator_test

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"testing"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/flow/recoverer"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/router"
)

// entryStream is the entry side of a grant stream that sends fixed bytes.
type entryStream struct {
	net.Conn
	text []byte
}

func (e *entryStream) run() {
	go e.loop()
	_, _ = e.Write(e.text)
	_ = e.Close()
}

// loop reads the replies.
func (e *entryStream) loop() { _, _ = io.Copy(io.Discard, e) }

// FuzzGrantStream guards against messages of an entry that cause a panic in the home
// or in one of its pools.
func FuzzGrantStream(f *testing.F) {
	server := netip.MustParseAddrPort("10.0.0.1:1")
	address, _ := server.MarshalBinary()
	pool := &messenger.Pool{Service: "guidance", Zone: "a"}
	for _, messages := range [][]*messenger.Grant{
		{{Kind: &messenger.Grant_Ask{Ask: &messenger.Ask{Number: 1, Pool: pool, Rank: 9, Left: 1 << 40, Avoid: [][]byte{address}}}}, {Kind: &messenger.Grant_Done{Done: &messenger.Done{Number: 1, Keep: true, Busy: -7}}}, {Kind: &messenger.Grant_Use{Use: &messenger.Use{Number: 1}}}},
		{{Kind: &messenger.Grant_Held{Held: &messenger.Held{Number: 1, Pool: pool, Server: address, Left: -1}}}, {Kind: &messenger.Grant_Cancel{Cancel: &messenger.Cancel{Number: 1}}}},
		{{Kind: &messenger.Grant_Ask{Ask: new(messenger.Ask)}}, {}},
	} {
		var text bytes.Buffer
		for _, m := range messages {
			_ = messenger.WriteMessage(&text, m)
		}
		f.Add(text.Bytes())
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		before := recoverer.Count()
		var table router.TableHolder
		table.Store(&router.RoutingTable{Version: 1, Services: map[string]*router.Service{"guidance": {
			Service: &parser.Service{Name: "guidance", Slots: 1}, Servers: []router.BackendServer{{Name: "s", Address: server, Zone: "a"}},
		}}})
		home, entry := net.Pipe()
		go (&entryStream{entry, b}).run()
		al := &allocator.Allocator{RoutingTable: &table}
		al.ServeStream("entry", home)
		al.PoolStatuses() // Waits until the pools have executed all commands.
		if got := recoverer.Count() - before; got > 0 {
			t.Errorf("got %d panics, want 0", got)
		}
	})
}
