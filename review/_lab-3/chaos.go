package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// chaos: signals, changes of configuration and cut answers, with a judge.
func chaos(dir, file string) int {
	rec := newRecord(file)
	n := env("NODES", 5)
	s, bs, nodes := deployment(dir, n, 100*time.Millisecond)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	time.Sleep(time.Second)
	var t tally
	var mu sync.Mutex
	var seen []result
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range env("CLIENTS", 60) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for !stop.Load() {
				nd := nodes[rand.IntN(n)]
				var r result
				if rand.IntN(2) == 0 {
					r = send(nd.front, "POST", "hulo84.example", "/xapu221/ny95/2f", strings.Repeat("body"+newID(), 1+rand.IntN(3000)), 1500*time.Millisecond)
					mu.Lock()
					seen = append(seen, r)
					mu.Unlock()
					t.add(fmt.Sprint("unsafe ", r.status))
				} else {
					r = send(nd.front, "GET", "jepu9.example", "/lepu270/2f?x="+newID(), "", 1200*time.Millisecond)
					t.add(fmt.Sprint("safe ", r.status))
				}
				if r.err != nil && strings.Contains(r.err.Error(), "foreign") {
					t.add("FOREIGN")
				}
				time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			}
		}()
	}
	seconds := env("SECONDS", 60)
	version := 8
	for i := range seconds {
		time.Sleep(time.Second)
		nd := nodes[rand.IntN(n)]
		switch rand.IntN(9) {
		case 0:
			nd.signal(syscall.SIGSTOP)
			time.AfterFunc(time.Duration(rand.IntN(4000))*time.Millisecond, func() { nd.signal(syscall.SIGCONT) })
		case 1:
			nd.stop()
			nd.start(dir)
		case 2:
			nd.signal(syscall.SIGTERM)
			go func() {
				select {
				case <-nd.done:
				case <-time.After(6 * time.Second):
					t.add("GRACE OVER")
					nd.signal(syscall.SIGKILL)
					<-nd.done
				}
				nd.start(dir)
			}()
			time.Sleep(3 * time.Second)
		case 3:
			nd.signal(syscall.SIGHUP)
		case 4, 5:
			version += 1 + rand.IntN(3)
			s.put("op/config", config(version, map[string]any{
				"r-a": route("jepu9.example", "/lepu270/", "safe", "huvo11a", "1200ms", 1),
				"r-b": route("hulo84.example", "/xapu221/ny95/", "unsafe", "wuno96b", fmt.Sprint(1200+rand.IntN(300), "ms"), 1),
			}, map[string]any{"huvo11a": service(), "wuno96b": service()}))
		case 6:
			bs[rand.IntN(len(bs))].cut.Store(int32(rand.IntN(10)))
		case 7:
			b := bs[rand.IntN(len(bs))]
			b.leaving.Store(!b.leaving.Load())
			s.put("servers/"+b.id, b.record(1000+i))
		}
		if i%10 == 9 {
			rec.line("%s", t.counts())
		}
	}
	stop.Store(true)
	wg.Wait()
	runs, bodies := map[string]int{}, map[string]string{}
	for _, b := range bs {
		b.mu.Lock()
		for id, k := range b.runs {
			runs[id] += k
		}
		for id, text := range b.bodies {
			bodies[id] = text
		}
		b.mu.Unlock()
	}
	bad := 0
	for _, r := range seen {
		rule := ""
		switch {
		case runs[r.id] > 1:
			rule = "TWICE"
		case (r.status == 503 || r.status == 429 || r.status == 408) && runs[r.id] > 0:
			rule = "REFUSED"
		case r.status == 200 && (runs[r.id] != 1 || r.seal == ""):
			rule = "MIXED"
		case runs[r.id] == 1 && bodies[r.id] != "POST /xapu221/ny95/2f "+r.body:
			rule = "UNASKED"
		default:
			continue
		}
		rec.line("%s: request %s, status %d, %d runs", rule, r.id, r.status, runs[r.id])
		bad++
	}
	rec.line("%d unsafe requests, %d break a rule", len(seen), bad)
	if bad > 0 {
		return broken
	}
	return held
}
