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
	"sardinelever.example/sardinelever/internal/standin/injector"
)

// zoneIsolator serves each zone its own platform list, in which the peer
// addresses of instances in other zones are replaced by those of proxies.
// Blocking the proxies separates a zone from the others.
type zoneIsolator struct {
	platform http.Handler
	url      string
	server   *http.Server

	mu         sync.Mutex
	proxies    map[zoneLink]*injector.Proxy
	proxyAddrs map[zoneLink]netip.AddrPort
}

// zoneLink identifies the proxy from a zone to an instance of another zone.
type zoneLink struct {
	fromZone string
	toZone   string
	peer     netip.AddrPort
}

func (z *zoneIsolator) start(platform http.Handler) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "list of a zone")
	}
	z.platform, z.url = platform, "http://"+listener.Addr().String()
	z.proxies, z.proxyAddrs = make(map[zoneLink]*injector.Proxy), make(map[zoneLink]netip.AddrPort)
	z.server = &http.Server{Handler: z, ReadHeaderTimeout: time.Minute}
	go z.serve(listener)
	return nil
}

func (z *zoneIsolator) serve(listener net.Listener) { _ = z.server.Serve(listener) }

func (z *zoneIsolator) stop() {
	if z.server == nil {
		return
	}
	_ = z.server.Close()
	for _, p := range z.proxies {
		p.Stop()
	}
}

// addInstance starts a proxy from each other zone to the instance in zone whose
// listener for other instances is at peer.
func (z *zoneIsolator) addInstance(peer netip.AddrPort, zone string) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, from := range Zones {
		if from == zone {
			continue
		}
		link := zoneLink{fromZone: from, toZone: zone, peer: peer}
		p := &injector.Proxy{Target: peer}
		addr, err := p.Start()
		if err != nil {
			return err
		}
		z.proxies[link], z.proxyAddrs[link] = p, addr
	}
	return nil
}

// SeparateZone blocks the connections between the instances of zone and those of
// other zones. It has no effect unless UseZoneProxies is set.
func (c *Cluster) SeparateZone(zone string) {
	c.isolator.mu.Lock()
	defer c.isolator.mu.Unlock()
	for link, p := range c.isolator.proxies {
		if link.fromZone == zone || link.toZone == zone {
			p.StartPartition()
		}
	}
}

// ReconnectZones ends the separation of all zones.
func (c *Cluster) ReconnectZones() {
	c.isolator.mu.Lock()
	defer c.isolator.mu.Unlock()
	for _, p := range c.isolator.proxies {
		p.EndPartition()
	}
}

// ServeHTTP serves /ZONE/config and /ZONE/list: the platform's answers, the list
// with the addresses of the proxies of ZONE.
func (z *zoneIsolator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	zone, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	r.URL.Path = "/" + path
	if path != "list" {
		z.platform.ServeHTTP(w, r)
		return
	}
	recorder := httptest.NewRecorder()
	z.platform.ServeHTTP(recorder, r)
	var list reader.List
	if recorder.Code != http.StatusOK || json.Unmarshal(recorder.Body.Bytes(), &list) != nil {
		w.WriteHeader(recorder.Code)
		return
	}
	z.mu.Lock()
	for i := range list.Entries {
		e := &list.Entries[i]
		if addr, ok := z.proxyAddrs[zoneLink{fromZone: zone, toZone: e.Zone, peer: e.PeerAddr}]; ok {
			e.PeerAddr = addr
		}
	}
	z.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
