package main

import (
	"fmt"
	"time"
)

// site is a small deployment: store, backends of one service and instances.
type site struct {
	record   *recorder
	store    *store
	fleet    *fleet
	backends []*backend
	clients  *clients
	version  int
}

// route is a route of the configuration with the one host of the site.
type route struct {
	prefix, kind    string
	timeout, target time.Duration
}

const siteHost = "jepu9.example"

// newSite starts the store with its configuration and the backends, three zones in turn.
// The instances are not started.
func newSite(r *recorder, instances, backends, slots int, work time.Duration, routes ...route) *site {
	s := &site{record: r, store: newStore(r), clients: newClients(r)}
	s.putConfig(routes...)
	s.fleet = newFleet(r, s.store, instances)
	closers = append(closers, s.fleet.close)
	for n := range backends {
		b := newBackend(r, fmt.Sprintf("i-%08x", 0x7f3a91c2+n*977), "dele69a", s.fleet.zones[n%3], slots, work)
		s.backends = append(s.backends, b)
		s.store.put(b.key(), b.entry("ready"))
	}
	return s
}

// putConfig writes the next version of the configuration.
func (s *site) putConfig(routes ...route) time.Time {
	s.version += 3
	rs := make(map[string]any)
	for n, q := range routes {
		rs[fmt.Sprintf("r-%d", n)] = map[string]any{
			"Hostname": siteHost, "Prefix": q.prefix, "RouteType": q.kind, "Timeout": fmt.Sprintf("%dms", q.timeout.Milliseconds()),
			"TargetLatency": fmt.Sprintf("%dms", q.target.Milliseconds()), "Priority": 1, "Service": "dele69a", "MaxAttempts": 2,
		}
	}
	return s.store.put("op/config", map[string]any{
		"Version": fmt.Sprintf("r%d", s.version), "Routes": rs,
		"Services": map[string]any{"dele69a": map[string]any{"HealthPath": "/healthz", "MaxConnections": 260, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
}

// boot starts all instances as the whole system starts for the first time.
func (s *site) boot() {
	for _, i := range s.fleet.instances {
		s.fleet.start(i, true)
	}
	s.fleet.awaitReady(s.fleet.instances, 15*time.Second)
}

// Bounds of the rules, from the site file.
const (
	drainBound      = 2 * time.Second
	stabilityWindow = 3 * time.Second
)
