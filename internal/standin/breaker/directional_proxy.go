package breaker

import (
	"context"
	"net/netip"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Path is a TCP proxy to Target that can drop the bytes of one direction.
type Path struct {
	To netip.AddrPort

	proxy *toxiproxy.Proxy
}

// Directions of a DirectionalProxy, as toxiproxy names them.
const (
	Upstream   = "upstream"   // From the dialing side to Target.
	Downstream = "downstream" // From Target to the dialing side.
)

const toxicName = "silent"

// Start listens on a free loopback port.
func (p *Path) Start() error {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p.proxy = toxiproxy.NewProxy(server, "path", "127.0.0.1:0", p.To.String())
	return errors.Wrap(p.proxy.Start(), "path")
}

// Stop closes the listener and all connections.
func (p *Path) Stop() { p.proxy.Stop() }

// Addr returns the address on which the proxy listens.
func (p *Path) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.proxy.Listen) }

// Silence drops all bytes of direction, which is Upstream or Downstream.
// Connections stay open.
func (p *Path) Silence(direction string) error {
	toxic := `{"name":"` + toxicName + `","type":"timeout","stream":"` + direction + `","attributes":{"timeout":0}}`
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	return errors.Wrap(err, "path")
}

// Restore ends the fault of DropDirection.
func (p *Path) Restore() error {
	return errors.Wrap(p.proxy.Toxics.RemoveToxic(context.Background(), toxicName), "path")
}
