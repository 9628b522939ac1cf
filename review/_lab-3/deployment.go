package main

import "time"

// deployment starts a store, backends and n instances.
func deployment(dir string, n int, work time.Duration) (*store, []*backend, []*node) {
	s := newStore()
	routes := map[string]any{
		"r-a": route("jepu9.example", "/lepu270/", "safe", "huvo11a", "1200ms", 1),
		"r-b": route("hulo84.example", "/xapu221/ny95/", "unsafe", "wuno96b", "1500ms", 1),
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
