package deployer

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/standin/breaker"
)

// borders shows each zone a list in which the instances of other zones are
// behind breakers, so that zones can be separated.
type borders struct {
	platform http.Handler
	url      string
	server   *http.Server

	mu    sync.Mutex
	gates map[gate]*breaker.Proxy
	addrs map[gate]netip.AddrPort
}

// gate leads from a zone to an instance of another zone.
type gate struct {
	from string
	zone string
	peer netip.AddrPort
}

func (b *borders) start(platform http.Handler) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "list of a zone")
	}
	b.platform, b.url = platform, "http://"+l.Addr().String()
	b.gates, b.addrs = make(map[gate]*breaker.Proxy), make(map[gate]netip.AddrPort)
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	go b.run(l)
	return nil
}

func (b *borders) run(l net.Listener) { _ = b.server.Serve(l) }

func (b *borders) stop() {
	if b.server == nil {
		return
	}
	_ = b.server.Close()
	for _, g := range b.gates {
		g.Stop()
	}
}

// add opens the gates to the instance peer in zone.
func (b *borders) add(peer netip.AddrPort, zone string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, from := range Zones {
		if from == zone {
			continue
		}
		k := gate{from: from, zone: zone, peer: peer}
		g := &breaker.Proxy{Target: peer}
		addr, err := g.Start()
		if err != nil {
			return err
		}
		b.gates[k], b.addrs[k] = g, addr
	}
	return nil
}

// Part separates zone from the others.
func (c *Cluster) Part(zone string) {
	c.zones.mu.Lock()
	defer c.zones.mu.Unlock()
	for k, g := range c.zones.gates {
		if k.from == zone || k.zone == zone {
			g.StartPartition()
		}
	}
}

// Heal ends all separations.
func (c *Cluster) Heal() {
	c.zones.mu.Lock()
	defer c.zones.mu.Unlock()
	for _, g := range c.zones.gates {
		g.EndPartition()
	}
}

// ServeHTTP serves /ZONE/config and /ZONE/list.
func (b *borders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	zone, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	r.URL.Path = "/" + path
	if path != "list" {
		b.platform.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	b.platform.ServeHTTP(answer, r)
	var l reader.List
	if answer.Code != http.StatusOK || json.Unmarshal(answer.Body.Bytes(), &l) != nil {
		w.WriteHeader(answer.Code)
		return
	}
	b.mu.Lock()
	for i := range l.Entries {
		e := &l.Entries[i]
		if addr, ok := b.addrs[gate{from: zone, zone: e.Zone, peer: e.Peer}]; ok {
			e.Peer = addr
		}
	}
	b.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}
