package main

import (
	"context"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

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

// playFreeze: the home of a zone's backends stands still while some of them drain.
func playFreeze(r *recorder) (broken bool) {
	s := newSite(r, 9, 18, 2, 30*time.Millisecond, route{"/lepu270/", "safe", 1200 * time.Millisecond, 400 * time.Millisecond})
	s.boot()
	ctx, cancel := context.WithCancel(context.Background())
	q := request{"GET", siteHost, "/lepu270/2f", "", 1200 * time.Millisecond}
	for _, i := range s.fleet.instances {
		s.clients.loop(ctx, i, q, 25*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	late := 0
	frozen := make(map[string]bool)
	leftAt := make(map[*backend]time.Time)
	for n, zone := range s.fleet.zones {
		h := s.homeOf(s.fleet.instances[0], q.path, zone)
		frozen[h.name] = true
		if trouble() {
			s.fleet.signal(h, syscall.SIGSTOP)
		}
		time.Sleep(500 * time.Millisecond)
		for _, b := range s.backends {
			if b.zone == zone && len(leftAt) < 4*(n+1) {
				leftAt[b] = s.store.put(b.key(), b.entry("draining"))
			}
		}
		time.Sleep(3 * time.Second)
		if trouble() {
			s.fleet.signal(h, syscall.SIGCONT)
		}
		time.Sleep(3 * time.Second)
	}
	cancel()
	s.clients.tasks.Wait()
	for b, at := range leftAt {
		for _, a := range b.arrivalsAfter(at.Add(drainBound)) {
			sent, _ := s.clients.attempt(a.id)
			if frozen[sent.instance] {
				continue
			}
			if late++; late <= 5 {
				r.say("%s, draining at %.3f, got %s at %.3f from %s", b.id, r.since(at), a.id, r.since(a.at), sent.instance)
			}
		}
	}
	r.say("requests by status: %s", s.clients.counts())
	r.say("requests of machines in touch that reached a backend later than 2 s after it drained: %d", late)
	return late > 0
}
