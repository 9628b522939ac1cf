package main

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

const (
	foreignClients = 12
	foreignTime    = 20 * time.Second
)

// foreign is case 13: beside the entries of the backends, the store has entries of another
// writer, of a service that no configuration names.
func foreign(dir, file string) int {
	rec := newRecord(file)
	s, bs, nodes := deployment(dir, 3, 20*time.Millisecond)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	for i, b := range bs {
		address := b.addr
		if !trouble() {
			host, _, err := net.SplitHostPort(address)
			check(err)
			address = fmt.Sprintf("%s:%d", host, 9+i) // Of nobody.
		}
		s.put(fmt.Sprintf("servers/agent-%d", i), map[string]any{
			"Address": address, "born": time.Now().UnixMilli(), "Info": map[string]any{"Service": "node-agent", "Version": "v1", "Zone": "gwynedd", "Slots": 1},
			"Status": map[string]any{"State": "ready", "Sequence": 1, "ColdRemaining": "0ms"},
		})
		rec.line("the entry servers/agent-%d of another writer names %s, where %s of %s is, for the service node-agent", i, address, b.id, b.service)
	}
	time.Sleep(2 * configApply)
	var t tally
	var sent, served atomic.Int64
	end := time.Now().Add(foreignTime)
	for i := range foreignClients {
		go func() {
			for time.Now().Before(end) {
				nd := nodes[i%len(nodes)]
				for _, r := range []result{
					send(nd.front, "GET", "jepu9.example", "/lepu270/2f", "", 1200*time.Millisecond),
					send(nd.front, "POST", "hulo84.example", "/xapu221/ny95/2f", "x", 1500*time.Millisecond),
				} {
					sent.Add(1)
					if r.status == 200 {
						served.Add(1)
					}
					t.add(fmt.Sprint("status ", r.status))
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	for time.Now().Before(end) {
		time.Sleep(foreignTime / 4)
		rec.line("%s", t.counts())
	}
	runs := 0
	for _, b := range bs {
		b.mu.Lock()
		runs += len(b.runs)
		b.mu.Unlock()
	}
	code := held
	if served.Load() == 0 {
		code = broken
	}
	rec.line("%d requests sent, %d run by the backends, %d served", sent.Load(), runs, served.Load())
	rec.line("%s", verdict(code))
	rec.close()
	return code
}
