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

	Platform  publisher.Publisher
	Workers   map[string][]*worker.Worker // By service.
	Entries   []reader.Entry              // The backend servers as the platform lists them.
	URL       string                      // Base URL of the platform.
	listeners []*http.Server
}

// Start opens all listeners on loopback and publishes the first bundle.
func (s *Stager) Start() error {
	if len(s.Zones) == 0 {
		s.Zones = []string{"a"}
	}
	addr, err := s.listen(&s.Platform)
	if err != nil {
		return err
	}
	s.URL = "http://" + addr.String()
	s.Workers = make(map[string][]*worker.Worker)
	b := &parser.Bundle{Version: 1}
	for i := range s.Groups {
		if err := s.startGroup(&s.Groups[i]); err != nil {
			return err
		}
		b.Services = append(b.Services, s.Groups[i].Service)
	}
	text, err := parser.FormatBundle(b)
	if err != nil {
		return errors.Wrap(err, "first bundle")
	}
	s.Platform.SetList(s.Entries)
	s.Platform.Publish(text)
	return nil
}

// stopTime bounds the wait for calls in flight; a silent connection may hold one for ever.
const stopTime = 2 * time.Second

// Stop closes all listeners, and the connections that are still in use after two seconds.
func (s *Stager) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	for _, l := range s.listeners {
		if l.Shutdown(ctx) != nil {
			_ = l.Close()
		}
	}
}

func (s *Stager) startGroup(g *Group) error {
	for i := range g.Count {
		w := &worker.Worker{Name: fmt.Sprintf("%s-%d", g.Service.Name, i), Slots: g.Service.Slots, Time: g.Time}
		if g.Setup != nil {
			g.Setup(w)
		}
		addr, err := s.listen(w)
		if err == nil && s.Front != nil {
			addr, err = s.Front(addr)
		}
		if err != nil {
			return err
		}
		s.Workers[g.Service.Name] = append(s.Workers[g.Service.Name], w)
		s.Entries = append(s.Entries, reader.Entry{
			Name: w.Name, Address: addr, Zone: s.Zones[i%len(s.Zones)], Region: "home", Service: g.Service.Name,
		})
	}
	return nil
}

func (s *Stager) listen(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "stand-in listener")
	}
	server := &server{Server: http.Server{Handler: h, ReadHeaderTimeout: time.Minute}, listener: l}
	s.listeners = append(s.listeners, &server.Server)
	go server.run()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

type server struct {
	http.Server
	listener net.Listener
}

func (s *server) run() { _ = s.Serve(s.listener) }
