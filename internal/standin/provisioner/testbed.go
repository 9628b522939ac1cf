package provisioner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/standin/publisher"
	"sardinelever.example/sardinelever/internal/standin/worker"
)

// ServerGroup is a set of backend servers of one service with equal properties.
type ServerGroup struct {
	Service     parser.Service
	ServerCount int
	ServiceTime func() time.Duration // Draws the service time of a call; nil means 0.
	SetupServer func(*worker.Server) // Called for each backend server before it serves; may be nil.
}

// Testbed holds the stand-ins of one deployment. Groups, Zones and ListedAddr are set
// before Start, which sets the other fields.
type Testbed struct {
	Groups []ServerGroup
	Zones  []string // The backend servers of a group are spread over these in turn; empty means one zone "a".

	// ListedAddr returns the address under which the platform lists the backend server at
	// the given address, for example that of a proxy; nil means the same address.
	ListedAddr func(netip.AddrPort) (netip.AddrPort, error)

	Platform    publisher.Platform
	Servers     map[string][]*worker.Server // Keyed by service name.
	ListEntries []reader.Entry              // List of the backend servers that the platform serves.
	PlatformURL string                      // Base URL of the platform.
	httpServers []*http.Server
}

// Start starts the platform and the backend servers on loopback and publishes the list
// and the first bundle.
func (t *Testbed) Start() error {
	if len(t.Zones) == 0 {
		t.Zones = []string{"a"}
	}
	addr, err := t.serveOnLoopback(&t.Platform)
	if err != nil {
		return err
	}
	t.PlatformURL = "http://" + addr.String()
	t.Servers = make(map[string][]*worker.Server)
	bundle := &parser.Bundle{Version: 1}
	for i := range t.Groups {
		if err := t.startGroup(&t.Groups[i]); err != nil {
			return err
		}
		bundle.Services = append(bundle.Services, t.Groups[i].Service)
	}
	text, err := parser.FormatBundle(bundle)
	if err != nil {
		return errors.Wrap(err, "format first bundle")
	}
	t.Platform.SetList(t.ListEntries)
	t.Platform.PublishBundle(text)
	return nil
}

// shutdownTimeout limits the wait for running calls in Stop; a call on a silent
// connection may never end.
const shutdownTimeout = 2 * time.Second

// Stop closes all listeners, waits up to shutdownTimeout in total for running calls
// and closes the connections that are still in use.
func (t *Testbed) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range t.httpServers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}

func (t *Testbed) startGroup(group *ServerGroup) error {
	for i := range group.ServerCount {
		server := &worker.Server{Name: fmt.Sprintf("%s-%d", group.Service.Name, i), Slots: group.Service.Slots, ServiceTime: group.ServiceTime}
		if group.SetupServer != nil {
			group.SetupServer(server)
		}
		addr, err := t.serveOnLoopback(server)
		if err == nil && t.ListedAddr != nil {
			addr, err = t.ListedAddr(addr)
		}
		if err != nil {
			return err
		}
		t.Servers[group.Service.Name] = append(t.Servers[group.Service.Name], server)
		t.ListEntries = append(t.ListEntries, reader.Entry{
			Name: server.Name, Address: addr, Zone: t.Zones[i%len(t.Zones)], Region: "home", Service: group.Service.Name,
		})
	}
	return nil
}

func (t *Testbed) serveOnLoopback(h http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen for stand-in")
	}
	server := &loopbackServer{Server: http.Server{Handler: h, ReadHeaderTimeout: time.Minute}, listener: listener}
	t.httpServers = append(t.httpServers, &server.Server)
	go server.serveListener()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// loopbackServer is an HTTP server with its listener.
type loopbackServer struct {
	http.Server
	listener net.Listener
}

func (s *loopbackServer) serveListener() { _ = s.Serve(s.listener) }
