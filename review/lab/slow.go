package main

import (
	"context"
	"time"
)

const (
	// slowAnswer is 60 times the usual time of an answer of the store, 4 ms.
	slowAnswer = 240 * time.Millisecond
	slowTime   = 4500 * time.Millisecond
)

// playSlow: a backend leaves without reporting draining. Then the store is slow for a
// while, and the processes of one zone are killed and start again. Reads with StaleOk
// are 3 s behind.
func playSlow(r *recorder) (broken bool) {
	s := newSite(r, 9, 12, 2, 160*time.Millisecond, route{"/lepu270/", "safe", 1200 * time.Millisecond, 400 * time.Millisecond, "dele69a"})
	s.boot()
	ctx, cancel := context.WithCancel(context.Background())
	q := request{"GET", siteHost, "/lepu270/2f", "", 1200 * time.Millisecond}
	for _, i := range s.fleet.instances {
		period := 120 * time.Millisecond
		if i.zone == staleZone {
			period = 80 * time.Millisecond
		}
		s.clients.loop(ctx, i, q, period)
	}
	front := s.store.listenStale(staleLag)
	s.fleet.storeAddress = func(*instance) string { return front }
	time.Sleep(4 * time.Second)
	var gone *backend
	for _, b := range s.backends {
		if b.zone == staleZone && gone == nil {
			gone = b
		}
	}
	leftAt := s.store.remove(gone.key())
	time.Sleep(time.Second)
	stableAt := time.Now()
	if trouble() {
		s.store.delay.Store(int64(slowAnswer))
		r.line("store", "is slow")
		stableAt = stableAt.Add(slowTime + stabilityWindow)
		for _, i := range s.fleet.instances {
			if i.zone == staleZone {
				s.fleet.kill(i)
			}
		}
		time.Sleep(500 * time.Millisecond)
		for _, i := range s.fleet.instances {
			if i.zone == staleZone {
				s.fleet.start(i, false)
			}
		}
	}
	time.Sleep(time.Until(stableAt.Add(-stabilityWindow)))
	s.store.delay.Store(0)
	r.line("store", "is not slow")
	time.Sleep(time.Until(leftAt.Add(14 * time.Second)))
	cancel()
	s.clients.tasks.Wait()
	late := s.countLate(map[*backend]time.Time{gone: leftAt}, stableAt)
	r.say("requests by status: %s", s.clients.counts())
	r.say("requests of machines in touch that reached a backend later than 2 s after it was gone: %d", late)
	return late > 0
}
