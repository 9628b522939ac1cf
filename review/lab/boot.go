package main

import "time"

func playBoot(r *recorder) (broken bool) {
	s := newSite(r, 9, 36, 2, 40*time.Millisecond, route{"/lepu270/", "safe", 1200 * time.Millisecond, 400 * time.Millisecond})
	s.store.pageItems = 20
	s.boot()
	return false
}
