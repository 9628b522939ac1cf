package main

import (
	"fmt"
	"os/exec"
	"strings"
	"time"
)

// site is a small deployment: store, backends and instances.
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
	service         string
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
		s.addBackend(routes[0].service, s.fleet.zones[n%3], slots, work)
	}
	return s
}

// addBackend starts a backend, which registers itself.
func (s *site) addBackend(service, zone string, slots int, work time.Duration) {
	b := newBackend(s.record, fmt.Sprintf("i-%08x", 0x7f3a91c2+len(s.backends)*977), service, zone, slots, work)
	s.backends = append(s.backends, b)
	s.store.put(b.key(), b.entry("ready"))
}

// putConfig writes the next version of the configuration.
func (s *site) putConfig(routes ...route) time.Time {
	s.version += 3
	rs, services := make(map[string]any), make(map[string]any)
	for n, q := range routes {
		rs[fmt.Sprintf("r-%d", n)] = map[string]any{
			"Hostname": siteHost, "Prefix": q.prefix, "RouteType": q.kind, "Timeout": fmt.Sprintf("%dms", q.timeout.Milliseconds()),
			"TargetLatency": fmt.Sprintf("%dms", q.target.Milliseconds()), "Priority": 1, "Service": q.service, "MaxAttempts": 2,
		}
		services[q.service] = map[string]any{"HealthPath": "/healthz", "MaxConnections": 260, "Protocol": "h1", "Tls": false}
	}
	return s.store.put("op/config", map[string]any{
		"Version": fmt.Sprintf("r%d", s.version), "Routes": rs,
		"Services": services,
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

// homeOf returns the instance that grants the slots of zone, as i tells.
func (s *site) homeOf(i *instance, path, zone string) *instance {
	out, err := exec.Command(programPath(), "explain", "--operator", i.operator, "--host", siteHost, "GET", path).CombinedOutput()
	if err != nil {
		cannotRun("explain: %v: %s", err, out)
	}
	for line := range strings.Lines(string(out)) {
		if strings.Contains(line, "/"+zone) && strings.Contains(line, "home=") {
			_, name, _ := strings.Cut(strings.TrimSpace(line), "home=")
			for _, j := range s.fleet.instances {
				if j.name == name {
					return j
				}
			}
		}
	}
	cannotRun("no home of %s in %s", zone, out)
	return nil
}

// Bounds of the rules, from the site file.
const (
	drainBound      = 2 * time.Second
	stabilityWindow = 3 * time.Second
)
