package main

import (
	"fmt"
	"time"
)

// startSmallDeployment starts the store, six backend servers of one service and three
// instances in three zones, and waits until all instances are ready.
func (l *lab) startSmallDeployment() (*runs, error) {
	if err := l.startStore(); err != nil {
		return nil, err
	}
	all := newRuns()
	for n := range 6 {
		b := &backend{id: fmt.Sprintf("i-%04d", n), service: "ledger", zone: "abc"[n%3 : n%3+1], slots: 6, queue: 8, work: 5 * time.Millisecond, runs: all}
		if err := l.startBackend(b); err != nil {
			return nil, err
		}
	}
	routes := map[string]route{"r-1": {"shop.example", "/orders/", "unsafe", "1500ms", "800ms", 1, 2, "ledger"}}
	if _, err := l.store.put("op/config", configRecord("r7", routes, "ledger")); err != nil {
		return nil, err
	}
	if err := l.startFleet(fleetOptions{zones: []string{"a", "b", "c"}}); err != nil {
		return nil, err
	}
	return all, l.awaitReady(15 * time.Second)
}

// checkRuns notes how many of the requests of ordinary callers have run and were not
// answered.
func (l *lab) checkRuns(all *runs, rs []reply) (unanswered int) {
	for _, r := range rs {
		if r.status == 0 {
			unanswered++
			if unanswered <= 50 {
				l.note("%s, sent to %s: no answer (%s); runs at backend servers: %d", r.id, r.instance, r.err, len(all.of(r.id)))
			}
		}
	}
	l.note("ordinary callers: %d of %d requests without an answer", unanswered, len(rs))
	return unanswered
}
