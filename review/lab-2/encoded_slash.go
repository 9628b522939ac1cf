package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["slash"] = playEncodedSlash }

const (
	// lostShare is the share of runs whose answers are lost at every second backend server.
	lostShare = 0.3
	// depositTime is how long the deposits are sent.
	depositTime = 10 * time.Second
)

// playEncodedSlash sends requests of an unsafe route whose paths have an encoded slash, at
// backend servers that lose some answers.
func playEncodedSlash(l *lab, trouble bool) (bool, error) {
	if err := l.startStore(); err != nil {
		return false, err
	}
	all := newRuns()
	for n := range 6 {
		b := &backend{id: fmt.Sprintf("i-%04d", n), service: "ledger", zone: "abc"[n%3 : n%3+1], slots: 6, queue: 8, work: 5 * time.Millisecond, runs: all}
		if trouble && n%2 == 0 {
			b.losesAnswer = func() bool { return rand.Float64() < lostShare }
		}
		if err := l.startBackend(b); err != nil {
			return false, err
		}
	}
	routes := map[string]route{
		"r-deposits": {"shop.example", "/deposits/", "unsafe", "1500ms", "800ms", 1, 2, "ledger"},
		"r-notes":    {"shop.example", "/deposits/notes/", "safe", "1500ms", "800ms", 1, 2, "ledger"},
	}
	if _, err := l.store.put("op/config", configRecord("r7", routes, "ledger")); err != nil {
		return false, err
	}
	if err := l.startFleet(fleetOptions{zones: []string{"a", "b", "c"}}); err != nil {
		return false, err
	}
	if err := l.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	encoded := &load{lab: l, targets: l.instances, perSecond: 50, method: http.MethodPut, host: "shop.example", path: "/deposits/notes%2F17", body: "deposit", timeout: 1500 * time.Millisecond, idPrefix: "e"}
	plain := &load{lab: l, targets: l.instances, perSecond: 50, method: http.MethodPut, host: "shop.example", path: "/deposits/notes-17", body: "deposit", timeout: 1500 * time.Millisecond, idPrefix: "p"}
	encoded.start()
	plain.start()
	time.Sleep(depositTime)
	broken := l.countRepeats(all, encoded.path, encoded.stop())
	broken += l.countRepeats(all, plain.path, plain.stop())
	return broken > 0, nil
}

// countRepeats notes and returns how many requests have run more than once.
func (l *lab) countRepeats(all *runs, path string, rs []reply) (repeated int) {
	for _, r := range rs {
		xs := all.of(r.id)
		if len(xs) < 2 {
			continue
		}
		if repeated++; repeated <= 5 {
			for _, x := range xs {
				l.note("%s: run by %s as %s %s, %.3f s after it was sent", r.id, x.server, x.method, x.uri, x.at.Sub(r.sent).Seconds())
			}
			l.note("%s: answered %d", r.id, r.status)
		}
	}
	l.note("%s (route r-deposits, unsafe): %d requests, answers by status %v, run more than once: %d", path, len(rs), statuses(rs), repeated)
	return repeated
}
