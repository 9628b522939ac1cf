package main

import (
	"context"
	"time"
)

// playPages: a backend leaves without reporting draining, and then one process is killed
// and starts again. The pages of its first read come from two copies of the store, of
// which one is 3 s behind.
func playPages(r *recorder) (broken bool) {
	s := newSite(r, 9, 36, 2, 160*time.Millisecond, route{"/lepu270/", "safe", 1200 * time.Millisecond, 400 * time.Millisecond, "dele69a"})
	s.store.pageItems = 20
	s.boot()
	ctx, cancel := context.WithCancel(context.Background())
	q := request{"GET", siteHost, "/lepu270/2f", "", 1200 * time.Millisecond}
	gone := s.backends[len(s.backends)-1]
	home := s.homeOf(s.fleet.instances[0], q.path, gone.zone)
	r.say("%s grants the slots of %s, to which %s belongs", home.name, gone.zone, gone.id)
	for _, i := range s.fleet.instances {
		period := 50 * time.Millisecond // The share of an instance is uneven.
		if i == home {
			period = 8 * time.Millisecond
		}
		s.clients.loop(ctx, i, q, period)
	}
	time.Sleep(4 * time.Second)
	leftAt := s.store.remove(gone.key())
	time.Sleep(time.Second)
	front := s.store.listenStale(0, staleLag)
	s.fleet.storeAddress = func(*instance) string { return front }
	if trouble() {
		s.fleet.kill(home)
		time.Sleep(500 * time.Millisecond)
		s.fleet.start(home, false)
	}
	time.Sleep(time.Until(leftAt.Add(14 * time.Second)))
	cancel()
	s.clients.tasks.Wait()
	late := s.countLate(map[*backend]time.Time{gone: leftAt}, time.Time{})
	r.say("requests by status: %s", s.clients.counts())
	r.say("requests of machines in touch that reached a backend later than 2 s after it was gone: %d", late)
	return late > 0
}
