package stager

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

// Group is a set of backend servers of one service with equal properties.
type Group struct {
	Service parser.Service
	Count   int
	Time    func() time.Duration // Draws the service time of a call; nil means 0.
	Setup   func(*worker.Worker) // Called for each backend server before it serves; may be nil.
}

// Stager holds the stand-ins of one deployment. Groups, Zones and ListedAddr are set
// before Start, which sets the other fields.
type Stager struct {
	Groups []Group
	Zones  []string // The backend servers of a group are spread over these in turn; empty means one zone "a".

	// ListedAddr, such as the start of a proxy, gets the address of a backend server and
	// returns the one under which the platform lists it; nil means the same address.
	Front func(netip.AddrPort) (netip.AddrPort, error)

	Platform    publisher.Publisher
	Workers     map[string][]*worker.Worker // Keyed by service name.
	Entries     []reader.Entry              // List of the backend servers that the platform serves.
	URL         string                      // Base URL of the platform.
	httpServers []*http.Server
}

// Start starts the platform and the backend servers on loopback and publishes the list
// and the first bundle.
func (t *Stager) Start() error {
	if len(t.Zones) == 0 {
		t.Zones = []string{"a"}
	}
	addr, err := t.serveOnLoopback(&t.Platform)
	if err != nil {
		return err
	}
	t.URL = "http://" + addr.String()
	t.Workers = make(map[string][]*worker.Worker)
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
	t.Platform.SetList(t.Entries)
	t.Platform.Publish(text)
	return nil
}

// shutdownTimeout limits the wait for running calls in Stop; a call on a silent
// connection may never end.
const shutdownTimeout = 2 * time.Second

// Stop closes all listeners, waits up to shutdownTimeout in total for running calls
// and closes the connections that are still in use.
func (t *Stager) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range t.httpServers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}

func (t *Stager) startGroup(group *Group) error {
	for i := range group.Count {
		server := &worker.Worker{Name: fmt.Sprintf("%s-%d", group.Service.Name, i), Slots: group.Service.Slots, Time: group.Time}
		if group.Setup != nil {
			group.Setup(server)
		}
		addr, err := t.serveOnLoopback(server)
		if err == nil && t.Front != nil {
			addr, err = t.Front(addr)
		}
		if err != nil {
			return err
		}
		t.Workers[group.Service.Name] = append(t.Workers[group.Service.Name], server)
		t.Entries = append(t.Entries, reader.Entry{
			Name: server.Name, Address: addr, Zone: t.Zones[i%len(t.Zones)], Region: "home", Service: group.Service.Name,
		})
	}
	return nil
}

func (t *Stager) serveOnLoopback(h http.Handler) (netip.AddrPort, error) {
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
