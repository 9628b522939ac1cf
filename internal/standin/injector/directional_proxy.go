package injector

import (
	"context"
	"net/netip"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// DirectionalProxy is a TCP proxy to Target that can drop the bytes of one direction.
type DirectionalProxy struct {
	Target netip.AddrPort

	proxy *toxiproxy.Proxy
}

// Directions of a DirectionalProxy, as toxiproxy names them.
const (
	Upstream   = "upstream"   // From the dialing side to Target.
	Downstream = "downstream" // From Target to the dialing side.
)

const toxicName = "silent"

// Start listens on a free loopback port.
func (p *DirectionalProxy) Start() error {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p.proxy = toxiproxy.NewProxy(server, "path", "127.0.0.1:0", p.Target.String())
	return errors.Wrap(p.proxy.Start(), "path")
}

// Stop closes the listener and all connections.
func (p *DirectionalProxy) Stop() { p.proxy.Stop() }

// Addr returns the address on which the proxy listens.
func (p *DirectionalProxy) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.proxy.Listen) }

// DropDirection drops all bytes of direction, which is Upstream or Downstream.
// Connections stay open.
func (p *DirectionalProxy) DropDirection(direction string) error {
	toxic := `{"name":"` + toxicName + `","type":"timeout","stream":"` + direction + `","attributes":{"timeout":0}}`
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	return errors.Wrap(err, "path")
}

// RestoreDirection ends the fault of DropDirection.
func (p *DirectionalProxy) RestoreDirection() error {
	return errors.Wrap(p.proxy.Toxics.RemoveToxic(context.Background(), toxicName), "path")
}
