package main

import (
	"context"
	"syscall"
	"time"
)

// Times of playHold, from the moment at which the two readers freeze.
const (
	wakeTime  = 5 * time.Second
	leaveTime = 6800 * time.Millisecond
	killTime  = 7 * time.Second
)

// playHold: the two instances that read the store for the others stand still for 5 s.
// Soon after they are back, backends leave without reporting draining, and then the two
// are killed and start again. Only requests by way of the other instances count, which
// nothing happens to.
func playHold(r *recorder) (broken bool) {
	s := newSite(r, 20, 30, 2, 160*time.Millisecond, route{"/lepu270/", "safe", 1200 * time.Millisecond, 400 * time.Millisecond, "dele69a"})
	s.boot()
	ctx, cancel := context.WithCancel(context.Background())
	q := request{"GET", siteHost, "/lepu270/2f", "", 1200 * time.Millisecond}
	for _, i := range s.fleet.instances {
		s.clients.loop(ctx, i, q, 70*time.Millisecond)
	}
	time.Sleep(7 * time.Second)
	var readers []*instance
	names := s.fleet.readers()
	for _, i := range s.fleet.instances {
		if names[i.name] {
			readers = append(readers, i)
		}
	}
	r.say("readers of the store: %v", names)
	start := time.Now()
	if trouble() {
		s.fleet.signalAll(readers, syscall.SIGSTOP)
		time.Sleep(time.Until(start.Add(wakeTime)))
		s.fleet.signalAll(readers, syscall.SIGCONT)
	}
	time.Sleep(time.Until(start.Add(leaveTime)))
	left := make(map[*backend]time.Time)
	for _, b := range s.backends[:6] {
		left[b] = s.store.remove(b.key())
	}
	time.Sleep(time.Until(start.Add(killTime)))
	if trouble() {
		for _, i := range readers {
			s.fleet.kill(i)
		}
		time.Sleep(500 * time.Millisecond)
		for _, i := range readers {
			s.fleet.start(i, false)
		}
	}
	time.Sleep(time.Until(start.Add(leaveTime + 13*time.Second)))
	missing := 0
	for _, i := range s.fleet.instances {
		if !names[i.name] && len(i.logLines(`"after":"deleted"`)) < len(left) {
			missing++
		}
	}
	cancel()
	s.clients.tasks.Wait()
	r.say("of the %d other instances, by their logs without a part of the deletions: %d", len(s.fleet.instances)-len(readers), missing)
	late := s.countLate(left, time.Time{}, readers...)
	r.say("requests by status: %s", s.clients.counts())
	r.say("requests of machines in touch that reached a backend later than 2 s after it was gone: %d", late)
	return late > 0
}
