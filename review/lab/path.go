package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// playPath sends requests whose path has characters that net/http encodes anew. It is no
// case of the review, as it needs no disruption.
func playPath(r *recorder) (broken bool) {
	s := newSite(r, 3, 3, 2, 20*time.Millisecond, route{"/lepu270/", "safe", 1200 * time.Millisecond, 400 * time.Millisecond, "dele69a"})
	s.boot()
	time.Sleep(2 * time.Second)
	for n, path := range []string{"/lepu270/2f", "/lepu270/a%2Fb", "/lepu270/a|b", "/lepu270/a%2Fb|c", "/lepu270/x^y"} {
		id := fmt.Sprintf("%016x", 0x2c41000000000000+n)
		c, err := net.Dial("tcp", s.fleet.instances[0].front)
		if err != nil {
			cannotRun("dial: %v", err)
		}
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nSardinelever-Request-Id: %s\r\nSardinelever-Deadline-Ms: 1200\r\nConnection: close\r\n\r\n", path, siteHost, id)
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			cannotRun("answer: %v", err)
		}
		_ = c.Close()
		for _, b := range s.backends {
			for _, a := range b.arrivalsAfter(time.Time{}) {
				if a.id == id && a.path != path {
					broken = true
					r.say("sent with %s, run with %s", path, a.path)
				}
			}
		}
	}
	return broken
}
