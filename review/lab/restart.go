package main

import (
	"context"
	"slices"
	"time"
)

const (
	// staleLag is how far the copy of the store that answers reads with StaleOk from
	// staleZone is behind. The copies for the other zones are not behind.
	staleLag  = 3 * time.Second
	staleZone = "powys"
)

// killAndRestart kills all processes at the same moment and starts them again within
// 0.3 s, those of staleZone last.
func (s *site) killAndRestart() {
	s.record.line("fleet", "SIGKILL to all processes")
	for _, i := range s.fleet.instances {
		_ = i.command.Process.Kill()
	}
	for _, i := range s.fleet.instances {
		_ = i.command.Wait()
	}
	time.Sleep(500 * time.Millisecond)
	for _, last := range []bool{false, true} {
		for _, i := range s.fleet.instances {
			if (i.zone == staleZone) == last {
				s.fleet.start(i, false)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// playRestart: three backends leave without reporting draining, and then all processes are
// killed and start again. The first reads of
// one zone come from a copy of the store that is 3 s behind.
func playRestart(r *recorder) (broken bool) {
	s := newSite(r, 9, 15, 2, 160*time.Millisecond, route{"/lepu270/", "safe", 1200 * time.Millisecond, 400 * time.Millisecond, "dele69a"})
	lagging := s.store.listenStale(staleLag)
	s.fleet.storeAddress = func(i *instance) string {
		if i.zone == staleZone {
			return lagging
		}
		return s.store.address
	}
	s.boot()
	ctx, cancel := context.WithCancel(context.Background())
	q := request{"GET", siteHost, "/lepu270/2f", "", 1200 * time.Millisecond}
	for _, i := range s.fleet.instances {
		period := 100 * time.Millisecond
		if i.zone == staleZone {
			period = 60 * time.Millisecond
		}
		s.clients.loop(ctx, i, q, period)
	}
	time.Sleep(4 * time.Second)
	readers := s.fleet.readers()
	r.say("readers of the store: %v", readers)
	gone := s.backends[:3]
	var leftAt time.Time
	for _, b := range gone {
		leftAt = s.store.remove(b.key())
	}
	if trouble() {
		time.Sleep(time.Second)
		s.killAndRestart()
	}
	time.Sleep(time.Until(leftAt.Add(14 * time.Second)))
	cancel()
	s.clients.tasks.Wait()
	left := make(map[*backend]time.Time)
	for _, b := range gone {
		left[b] = leftAt
	}
	late := s.countLate(left, time.Time{})
	r.say("requests by status: %s", s.clients.counts())
	r.say("requests of machines in touch that reached a backend later than 2 s after it was gone: %d", late)
	return late > 0
}

// countLate returns the number of requests that reached one of the backends in left later
// than drainBound after it left, from processes that ran for stabilityWindow or longer when
// the request was sent. Requests that were sent before stableAt, when the store was not
// stable, and those of disturbed instances do not count.
func (s *site) countLate(left map[*backend]time.Time, stableAt time.Time, disturbed ...*instance) (late int) {
	for b, at := range left {
		for _, a := range b.arrivalsAfter(at.Add(drainBound)) {
			sent, _ := s.clients.attempt(a.id)
			for _, i := range s.fleet.instances {
				if i.name != sent.instance || slices.Contains(disturbed, i) || sent.sentAt.Sub(i.startedAt) <= stabilityWindow || sent.sentAt.Before(stableAt) {
					continue
				}
				if late++; late <= 5 {
					s.record.say("%s, which left at %.3f, got %s at %.3f from %s, which started at %.3f", b.id, s.record.since(at), a.id, s.record.since(a.at), i.name, s.record.since(i.startedAt))
				}
			}
		}
	}
	return late
}
