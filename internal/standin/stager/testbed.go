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

// Group is a set of like backend servers of one service.
type Group struct {
	Service parser.Service
	Count   int
	Time    func() time.Duration // Service time of a call; nil means none.
	Setup   func(*worker.Worker) // Changes a backend server before it serves; nil means no change.
}

// Stager holds the stand-ins; Groups and Zones are set before Start.
type Stager struct {
	Groups []Group
	Zones  []string // Backend servers are spread over Zones in turn; empty means one zone, "a".

	// Front returns the address at which the platform lists a backend server; nil means its own.
	Front func(netip.AddrPort) (netip.AddrPort, error)

	Platform    publisher.Publisher
	Workers     map[string][]*worker.Worker // By service.
	Entries     []reader.Entry              // The backend servers as the platform lists them.
	URL         string                      // Base URL of the platform.
	httpServers []*http.Server
}

// Start opens all listeners on loopback and publishes the first bundle.
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
		return errors.Wrap(err, "first bundle")
	}
	t.Platform.SetList(t.Entries)
	t.Platform.Publish(text)
	return nil
}

// shutdownTimeout bounds the wait for calls in flight; a silent connection may hold one for ever.
const shutdownTimeout = 2 * time.Second

// Stop closes all listeners, and the connections that are still in use after two seconds.
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
		return netip.AddrPort{}, errors.Wrap(err, "stand-in listener")
	}
	server := &loopbackServer{Server: http.Server{Handler: h, ReadHeaderTimeout: time.Minute}, listener: listener}
	t.httpServers = append(t.httpServers, &server.Server)
	go server.serveListener()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

type loopbackServer struct {
	http.Server
	listener net.Listener
}

func (s *loopbackServer) serveListener() { _ = s.Serve(s.listener) }
