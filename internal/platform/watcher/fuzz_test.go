package watcher_test

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/flow/recoverer"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// scriptedSource is a Fleet with one source, whose feed is a fixed text, once.
type scriptedSource struct {
	feed  []byte
	ended chan bool
}

func (s *scriptedSource) UsableMembers(_, _ string) []registrar.Member {
	return []registrar.Member{{Name: "source", PeerAddr: netip.AddrPortFrom(netip.IPv4Unspecified(), 1)}, {Name: "self"}}
}

func (s *scriptedSource) OpenStream(context.Context, netip.AddrPort, connector.StreamKind) (net.Conn, error) {
	select {
	case s.ended <- true:
	default:
		return nil, errUnreachable
	}
	a, b := net.Pipe()
	go s.run(b)
	return a, nil
}

func (s *scriptedSource) run(conn net.Conn) {
	go s.loop(conn)
	_, _ = conn.Write(s.feed)
	_ = conn.Close()
	s.ended <- true
}

// loop reads what the follower sends.
func (s *scriptedSource) loop(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// FuzzFeed guards against bytes of another instance, as a source or as a follower, that
// cause a panic.
func FuzzFeed(f *testing.F) {
	var text bytes.Buffer
	_ = messenger.WriteMessage(&text, &messenger.Feed{At: 3, Full: true, Reader: "source", Records: []*messenger.Record{{Key: "s/one", Revision: 2, Value: []byte("x")}, {Key: "config", Revision: 3}}})
	_ = messenger.WriteMessage(&text, &messenger.Feed{At: 9, Standby: true, Age: -1})
	f.Add(text.Bytes())
	var subscribe bytes.Buffer
	_ = messenger.WriteMessage(&subscribe, &messenger.Subscribe{After: 1 << 63, Standby: true})
	f.Add(subscribe.Bytes())
	var pieces, packed bytes.Buffer
	w, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = w.Write([]byte("\n\x07\n\x05s/one"))
	_ = w.Close()
	for _, m := range []*messenger.Feed{{Piece: packed.Bytes()[:3]}, {Piece: packed.Bytes()[3:]}, {At: 3, Full: true, Reader: "source"}} {
		_ = messenger.WriteMessage(&pieces, m)
	}
	f.Add(pieces.Bytes())
	f.Add([]byte(strings.Repeat("\xff", 20)))
	f.Fuzz(func(t *testing.T, b []byte) {
		before := recoverer.Count()
		s := &scriptedSource{feed: b, ended: make(chan bool, 1)}
		w := &watcher.Watcher{
			Store: &storeView{fakeStore: newFakeStore(), unreachable: true}, Decoder: fakeDecoder{}, Name: "self", Fleet: s, StreamOpener: s, BundleSink: new(bundleRecorder), Log: &discardLogger,
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		_ = w.Run(ctx)
		cancel()
		x, y := net.Pipe()
		go (&scriptedSource{feed: b, ended: make(chan bool, 2)}).run(y)
		w.ServeStream(connector.Hello{}, x)
		if got := recoverer.Count() - before; got > 0 {
			t.Errorf("got %d panics, want 0", got)
		}
	})
}
