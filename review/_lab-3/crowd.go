package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

func env(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// deployment starts a store, backends and n instances.
func deployment(dir string, n int, work time.Duration) (*store, []*backend, []*node) {
	s := newStore()
	routes := map[string]any{
		"r-a": route("jepu9.example", "/lepu270/", "safe", "huvo11a", "1200ms", 1),
		"r-b": route("hulo84.example", "/xapu221/ny95/", "unsafe", "wuno96b", "1500ms", 1),
	}
	if os.Getenv("BULK") == "1" { // Calls are hedged while a route is of this type.
		routes["r-c"] = route("hulo84.example", "/bulk/", "download", "huvo11a", "3000ms", 2)
	}
	s.put("op/config", config(7, routes, map[string]any{"huvo11a": service(), "wuno96b": service()}))
	var bs []*backend
	for i := range 8 {
		name := "huvo11a"
		if i >= 4 {
			name = "wuno96b"
		}
		b := newBackend("i-"+newID(), name, 2, work)
		bs = append(bs, b)
		s.put("servers/"+b.id, b.record(1))
	}
	nodes := newNodes(n, dir, s.addr)
	for _, nd := range nodes {
		nd.start(dir)
	}
	for _, nd := range nodes {
		nd.awaitReady()
	}
	go func() {
		for i := 2; ; i++ {
			time.Sleep(1500 * time.Millisecond)
			for _, b := range bs {
				s.put("servers/"+b.id, b.record(i))
			}
		}
	}()
	return s, bs, nodes
}

// crowd: many requests in chunks stop short of their end and stay open.
func crowd(dir string) int {
	_, _, nodes := deployment(dir, 3, 100*time.Millisecond)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	time.Sleep(2 * time.Second)
	var t tally
	var on atomic.Bool
	for i := range 20 {
		go func() {
			for {
				r := send(nodes[i%3].front, "POST", "hulo84.example", "/xapu221/ny95/2f", "0123456789", 1500*time.Millisecond)
				t.add(fmt.Sprint("unsafe ", r.status))
				r = send(nodes[i%3].front, "GET", "jepu9.example", "/lepu270/2f", "", 1200*time.Millisecond)
				t.add(fmt.Sprint("safe ", r.status))
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	for i := range env("CROWD", 300) {
		go func() {
			for {
				if !on.Load() {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				c, err := net.DialTimeout("tcp", nodes[i%3].front, time.Second)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				_, _ = fmt.Fprintf(c, "POST /xapu221/ny95/2f HTTP/1.1\r\nHost: hulo84.example\r\nSardinelever-Request-Id: %s\r\nSardinelever-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", newID())
				_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
				var b [1]byte
				_, _ = io.ReadFull(c, b[:])
				t.add("crowd ended " + string(b[:]))
				_ = c.Close()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	for i := range 20 {
		on.Store(i >= 5 && i < 15 && os.Getenv("TROUBLE") != "0")
		time.Sleep(time.Second)
		rss, peak := nodes[0].peakMB()
		fmt.Println(i, on.Load(), t.take(), "rss", rss, peak)
	}
	return held
}
