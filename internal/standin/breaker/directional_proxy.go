package breaker

import (
	"context"
	"net/netip"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Path forwards connections from a loopback port to an address.
type Path struct {
	To netip.AddrPort

	proxy *toxiproxy.Proxy
}

// The directions of a Path.
const (
	Upstream   = "upstream"   // From the dialing side to To.
	Downstream = "downstream" // From To to the dialing side.
)

const toxicName = "silent"

// Start opens the port.
func (p *Path) Start() error {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p.proxy = toxiproxy.NewProxy(server, "path", "127.0.0.1:0", p.To.String())
	return errors.Wrap(p.proxy.Start(), "path")
}

// Stop closes the port and all connections.
func (p *Path) Stop() { p.proxy.Stop() }

// Addr returns the address of the port.
func (p *Path) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.proxy.Listen) }

// Silence drops all bytes of one direction; connections stay open.
func (p *Path) Silence(direction string) error {
	toxic := `{"name":"` + toxicName + `","type":"timeout","stream":"` + direction + `","attributes":{"timeout":0}}`
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	return errors.Wrap(err, "path")
}

// Restore ends Silence.
func (p *Path) Restore() error {
	return errors.Wrap(p.proxy.Toxics.RemoveToxic(context.Background(), toxicName), "path")
}
