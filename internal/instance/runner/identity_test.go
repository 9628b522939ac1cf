package runner_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/deduper"
	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/standin/breaker"
)

// alone is a fleet of one instance.
type alone struct{}

func (alone) Place(string) (name string, since, read time.Time) {
	return "one", time.Now().Add(-time.Hour), time.Now()
}
func (alone) Peer(string) (netip.AddrPort, bool) { return netip.AddrPort{}, false }

func (alone) Open(context.Context, netip.AddrPort, linker.Kind) (net.Conn, error) {
	return nil, errors.New("there is no other instance")
}

func issue(t *testing.T, d *deployment) string {
	resp, err := http.Get(strings.TrimSuffix(d.url, "/s") + "/sardine/id")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(text))
}

// TestIdentified guards against a call that is lost or runs again when its
// caller hangs up during the first attempt and repeats it.
func TestIdentified(t *testing.T) {
	d := deployWith(t, 1, &deduper.Deduper{Name: "one", Peer: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 7, Fleet: alone{}})
	d.breakers[0].Set(breaker.Fault{Kind: breaker.Silent, Up: -1}) // Holds the answer back.
	d.id = issue(t, d)
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan string)
	go func() { got <- d.call(ctx, http.MethodPost, "/note", "b", "") }()
	<-d.arrived
	cancel()
	if got, want := <-got, "no answer"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	close(d.breakers[0].Release)
	for range 2 {
		if got, want := d.call(t.Context(), http.MethodPost, "/note", "b", ""), "200 noted"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got := d.runs.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}
