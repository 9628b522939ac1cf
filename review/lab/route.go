package main

import (
	"context"
	"time"
)

// playRoute: a new configuration adds a route with a longer prefix and another service.
// Clients send requests whose path has an encoded slash, so that this prefix does not
// begin it.
func playRoute(r *recorder) (broken bool) {
	first := route{"/lepu270/", "unsafe", 1500 * time.Millisecond, time.Second, "dele69a"}
	s := newSite(r, 9, 9, 2, 40*time.Millisecond, first)
	for n := range 6 {
		s.addBackend("wuno96b", s.fleet.zones[n%3], 2, 40*time.Millisecond)
	}
	s.boot()
	ctx, cancel := context.WithCancel(context.Background())
	for _, i := range s.fleet.instances {
		s.clients.loop(ctx, i, request{"POST", siteHost, "/lepu270/ny95%2F2f", "order", 1500 * time.Millisecond}, 100*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if trouble() {
		s.putConfig(first, route{"/lepu270/ny95/", "unsafe", 1500 * time.Millisecond, time.Second, "wuno96b"})
	}
	time.Sleep(6 * time.Second)
	cancel()
	s.clients.tasks.Wait()
	wrong := 0
	for _, b := range s.backends {
		if b.service != "wuno96b" {
			continue
		}
		for _, a := range b.runs {
			if wrong++; wrong <= 5 {
				sent, _ := s.clients.attempt(a.id)
				r.say("%s of %s ran %s at %.3f, sent to %s", b.id, b.service, a.id, r.since(a.at), sent.instance)
			}
		}
	}
	r.say("requests by status: %s", s.clients.counts())
	r.say("requests run by a service to which no configuration allows them to go, found: %d", wrong)
	return wrong > 0
}
