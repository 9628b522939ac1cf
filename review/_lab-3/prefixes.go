package main

import (
	"strings"
	"time"
)

const prefixRounds = 60

// prefixRoutes are the routes of one host, by prefix, and their services.
var prefixRoutes = map[string]string{"/xapu221/": "huvo11a", "/xapu221/ny95/": "wuno96b"}

// serviceOf returns the service of the route with the longest prefix that begins path, or "".
func serviceOf(path string) string {
	best := ""
	for prefix := range prefixRoutes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(best) {
			best = prefix
		}
	}
	return prefixRoutes[best]
}

// prefixes is case 15: requests whose paths have an encoded slash where a prefix has a slash.
func prefixes(dir, file string) int {
	rec := newRecord(file)
	s, bs, nodes := deployment(dir, 3, 0)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	routes := map[string]any{"r-a": route("jepu9.example", "/lepu270/", "safe", "huvo11a", "1200ms", 1)}
	for prefix, name := range prefixRoutes {
		routes["r"+strings.ReplaceAll(prefix, "/", "-")] = route("hulo84.example", prefix, "unsafe", name, "1500ms", 1)
	}
	s.put("op/config", config(8, routes, map[string]any{"huvo11a": service(), "wuno96b": service()}))
	time.Sleep(2*configApply + time.Second)
	targets := []string{"/xapu221/ny95/2f", "/xapu221/ny95-2f", "/xapu221/a%2Fb", "/xapu221/ny95/a%2Fb"}
	if trouble() {
		targets = append(targets, "/xapu221/ny95%2F2f", "/xapu221%2Fny95/2f")
	}
	var sent, run, wrong int
	for round := range prefixRounds {
		for i, path := range targets {
			nd := nodes[(round+i)%len(nodes)]
			r := send(nd.front, "POST", "hulo84.example", path, "x", 1500*time.Millisecond)
			sent++
			got := ""
			for _, b := range bs {
				b.mu.Lock()
				if b.runs[r.id] > 0 {
					got = b.service
				}
				b.mu.Unlock()
			}
			if got != "" {
				run++
				if got != serviceOf(path) {
					wrong++
				}
			}
			if round == 0 {
				rec.line("request %s at %s, path %q, status %d; run by service %q; the routes send it to %q", r.id, nd.name, path, r.status, got, serviceOf(path))
			}
		}
	}
	code := held
	if wrong > 0 {
		code = broken
	}
	rec.line("%d requests sent, %d run, %d of them by a service to which no configuration sends them", sent, run, wrong)
	rec.line("%s", verdict(code))
	rec.close()
	return code
}
