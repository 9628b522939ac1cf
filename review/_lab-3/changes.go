package main

import (
	"os"
	"time"
)

const (
	configApply    = 2 * time.Second // Of the site file.
	changeRequests = 120
)

// changes is case 14: the operator changes the configuration, and one number in it is larger
// than before.
func changes(dir, file string) int {
	rec := newRecord(file)
	s, bs, nodes := deployment(dir, 3, 5*time.Millisecond)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	time.Sleep(2 * time.Second)
	ask := func(name, path string) (status map[int]int, runs map[string]int) {
		status, runs = map[int]int{}, map[string]int{}
		for i := range changeRequests {
			r := send(nodes[i%len(nodes)].front, "POST", "hulo84.example", path, "x", 1500*time.Millisecond)
			status[r.status]++
			for _, b := range bs {
				b.mu.Lock()
				runs[b.service] += b.runs[r.id]
				b.mu.Unlock()
			}
		}
		rec.line("%s: %d requests for %s, answers by status %v, runs by service %v", name, changeRequests, path, status, runs)
		return status, runs
	}
	ask("r7", "/xapu221/ny95/2f")
	moved := route("hulo84.example", "/xapu221/ny95/", "unsafe", "huvo11a", "1500ms", 1)
	added := route("hulo84.example", "/added/", "unsafe", "huvo11a", "1500ms", 3)
	if trouble() {
		switch os.Getenv("VARIANT") {
		case "weight":
			added["TrafficSplit"] = []any{map[string]any{"Service": "huvo11a", "Weight": 0.9}, map[string]any{"Service": "wuno96b", "Weight": 0.1}}
			delete(added, "Service")
		case "attempts":
			added["MaxAttempts"] = 40
		case "path":
			added["Prefix"] = "/added here/"
		default:
			added["Priority"] = 300
		}
	}
	s.put("op/config", config(9, map[string]any{
		"r-a": route("jepu9.example", "/lepu270/", "safe", "huvo11a", "1200ms", 1), "r-b": moved, "r-c": added,
	}, map[string]any{"huvo11a": service(), "wuno96b": service()}))
	rec.line("the store has confirmed r9: /xapu221/ny95/ goes to huvo11a in place of wuno96b, and /added/ is new, %v", added)
	time.Sleep(2*configApply + time.Second)
	_, runs := ask("r9", "/xapu221/ny95/2f")
	status, _ := ask("r9", "/added/2f")
	code := held
	if runs["wuno96b"] > 0 || status[404] > 0 {
		code = broken
	}
	rec.line("%v after the confirmation of r9, %d of %d requests were run by the service of r7, and %d of %d for the new route were answered 404", 2*configApply+time.Second, runs["wuno96b"], changeRequests, status[404], changeRequests)
	rec.line("%s", verdict(code))
	rec.close()
	return code
}
