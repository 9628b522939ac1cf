package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lifetimeServer is a backend whose process starts again under its id, with statements.
type lifetimeServer struct {
	id, service, addr string

	mu       sync.Mutex
	born     int64
	leaving  bool
	paused   time.Time // It sheds with Retry-After until then.
	sequence int
	arrivals []arrival
}

type arrival struct {
	id      string
	born    int64
	at      time.Time
	leaving bool
	retry   time.Duration // Retry-After of its answer.
}

func (l *lifetimeServer) record() map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return map[string]any{
		"Address": l.addr, "born": l.born, "Info": map[string]any{"Service": l.service, "Version": "v1", "Zone": "gwynedd", "Slots": 2},
		"Status": map[string]any{"State": "ready", "Sequence": l.sequence, "ColdRemaining": "0ms"},
	}
}

func (l *lifetimeServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	l.mu.Lock()
	born := l.born // A connection belongs to one process.
	l.mu.Unlock()
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Sardinelever-Request-Id")
		l.mu.Lock()
		if l.born != born {
			l.mu.Unlock()
			return
		}
		a := arrival{id: id, born: born, at: time.Now(), leaving: l.leaving}
		if left := time.Until(l.paused); left > 0 && id != "" {
			a.retry = left
		}
		header := ""
		if a.leaving {
			header = "Server-Leaving: 1\r\n"
		}
		l.arrivals = append(l.arrivals, a)
		l.mu.Unlock()
		switch {
		case req.URL.Path == "/healthz":
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSardinelever-Instance-Id: %s\r\nSardinelever-Server-Load: 0,0,2,100\r\nContent-Length: 0\r\n\r\n", l.id)
		case a.retry > 0:
			_, err = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nSardinelever-Not-Executed: 1\r\nSardinelever-Request-Id: %s\r\nRetry-After: %.3f\r\n%sContent-Length: 0\r\n\r\n", id, a.retry.Seconds(), header)
		default:
			time.Sleep(20 * time.Millisecond)
			text := "answer to " + id
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSardinelever-Request-Id: %s\r\nSardinelever-Response-Seal: 1.2.3\r\n%sContent-Length: %d\r\n\r\n%s", id, header, len(text), text)
		}
		if err != nil {
			return
		}
	}
}

// leavingScenario: backends state that they leave or are full, start again under their ids,
// and the store hears of it late.
func leavingScenario(dir, file string) int {
	rec := newRecord(file)
	s := newStore()
	routes := map[string]any{
		"r-a": route("jepu9.example", "/lepu270/", "safe", "huvo11a", "1200ms", 1),
		"r-b": route("hulo84.example", "/xapu221/ny95/", "unsafe", "wuno96b", "1500ms", 1),
	}
	services := map[string]any{"huvo11a": service(), "wuno96b": service()}
	s.put("op/config", config(7, routes, services))
	var ls []*lifetimeServer
	for i := range 10 {
		l := &lifetimeServer{id: "i-" + newID(), service: "huvo11a", born: time.Now().UnixMilli()}
		if i >= 5 {
			l.service = "wuno96b"
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		check(err)
		l.addr = ln.Addr().String()
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go l.serve(c)
			}
		}()
		ls = append(ls, l)
		s.put("servers/"+l.id, l.record())
	}
	nodes := newNodes(3, dir, s.addr)
	for _, nd := range nodes {
		nd.start(dir)
	}
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	for _, nd := range nodes {
		nd.awaitReady()
	}
	type sent struct {
		node   int
		at     time.Time
		passed time.Time
		ok     bool
	}
	var mu sync.Mutex
	all := map[string]sent{}
	var t tally
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range env("CLIENTS", 24) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for !stop.Load() {
				k := rand.IntN(3)
				began := time.Now()
				var r result
				if rand.IntN(2) == 0 {
					r = send(nodes[k].front, "POST", "hulo84.example", "/xapu221/ny95/2f", "x", 1500*time.Millisecond)
				} else {
					r = send(nodes[k].front, "GET", "jepu9.example", "/lepu270/2f", "", 1200*time.Millisecond)
				}
				mu.Lock()
				all[r.id] = sent{k, began, time.Now(), r.status == 200}
				mu.Unlock()
				t.add(fmt.Sprint(r.status))
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
		}()
	}
	down := time.Time{}
	for i := range env("SECONDS", 60) * 5 {
		time.Sleep(200 * time.Millisecond)
		if i%50 == 49 {
			rec.line("%s", t.counts())
		}
		l := ls[rand.IntN(len(ls))]
		if rand.IntN(3) == 0 {
			l.mu.Lock()
			switch rand.IntN(4) {
			case 0:
				n := 0
				for _, o := range ls {
					if o != l {
						o.mu.Lock()
						if o.service == l.service && o.leaving {
							n++
						}
						o.mu.Unlock()
					}
				}
				l.leaving = l.leaving || n < 3
			case 1:
				if time.Until(l.paused) <= 0 {
					l.paused = time.Now().Add(time.Duration(1000+rand.IntN(4000)) * time.Millisecond)
				}
			default: // Starts again, at times as full as before.
				l.born, l.leaving, l.sequence = time.Now().UnixMilli(), false, 0
				if rand.IntN(2) == 0 {
					l.paused = time.Time{}
				}
			}
			l.mu.Unlock()
		}
		if rand.IntN(60) == 0 && time.Now().After(down) {
			down = time.Now().Add(time.Duration(rand.IntN(6000)) * time.Millisecond)
			s.silent.Store(down.UnixNano())
		}
		if time.Now().After(down) && rand.IntN(4) == 0 {
			for _, l := range ls {
				if rand.IntN(3) == 0 {
					s.put("servers/"+l.id, l.record())
				}
			}
		}
	}
	stop.Store(true)
	wg.Wait()
	bad := 0
	type key struct {
		node int
		born int64
	}
	for _, l := range ls {
		said := map[key]time.Time{}
		type pause struct{ from, to time.Time }
		pauses, over := map[key][]pause{}, map[key]map[int]int{}
		l.mu.Lock()
		for _, a := range l.arrivals {
			q, ok := all[a.id]
			if !ok {
				continue
			}
			k := key{q.node, a.born}
			if at, ok := said[k]; ok && q.at.Sub(at) > 2*time.Second {
				bad++
				rec.line("DRAIN: %s reached %s of %d through %s, sent %v after the answer with Server-Leaving", a.id, l.id, a.born, nodes[q.node].name, q.at.Sub(at))
			}
			if _, ok := said[k]; !ok && a.leaving && q.ok {
				said[k] = q.passed
			}
			for i, p := range pauses[k] {
				if a.at.After(p.from) && a.at.Before(p.to) {
					if over[k] == nil {
						over[k] = map[int]int{}
					}
					if over[k][i]++; over[k][i] == 3 {
						bad++
						rec.line("BUDGET: %s of %d got a third request through %s in its pause, %v after its begin", l.id, a.born, nodes[q.node].name, a.at.Sub(p.from))
					}
				}
			}
			if a.retry > 500*time.Millisecond {
				pauses[k] = append(pauses[k], pause{a.at.Add(500 * time.Millisecond), a.at.Add(a.retry)})
			}
		}
		l.mu.Unlock()
	}
	rec.line("%d requests, %d break a rule", len(all), bad)
	if bad > 0 {
		return broken
	}
	return held
}
