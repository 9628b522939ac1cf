package registrar_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
)

// FuzzControl guards against a control message of another instance that ends the
// process, removes this instance from its own members or adds one without an address.
func FuzzControl(f *testing.F) {
	peer, _ := newMember(1).PeerAddr.MarshalBinary()
	for _, m := range []*messenger.Control{
		{Kind: &messenger.Control_Roster{Roster: &messenger.Roster{Members: []*messenger.Member{{Name: "i1", Peer: peer, Incarnation: 5}, {Name: "i0", Peer: peer, Incarnation: 9}}, Sum: 3}}},
		{Kind: &messenger.Control_Roster{Roster: &messenger.Roster{Reply: true, Sum: 3, Hashes: []uint32{1, 2}, Missing: []uint32{1}}}},
		{Kind: &messenger.Control_Heartbeat{Heartbeat: &messenger.Heartbeat{Name: "i1", Incarnation: 1, Leaving: true, Gossip: []*messenger.Gossip{{Name: "i0", State: messenger.State_STATE_SILENT, Sequence: 1 << 63}}}}},
		{},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m := new(messenger.Control)
		if proto.Unmarshal(b, m) != nil {
			return
		}
		h := newTableHarness(3)
		h.table.HandleHeartbeat(h.now, connector.Hello{Name: m.GetHeartbeat().GetName(), Incarnation: 1}, m.GetHeartbeat())
		h.table.AnswerRoster(h.now, m.GetRoster())
		h.table.HandleRosterReply(h.now, m.GetRoster())
		self := false
		for _, x := range h.table.Members(h.now) {
			self = self || x.Self && x.Name == "i0" && x.State == registrar.Alive
			if !x.PeerAddr.IsValid() && !x.Self {
				t.Errorf("got member %v without an address", x)
			}
		}
		if !self {
			t.Error("got no own entry that is alive")
		}
	})
}
