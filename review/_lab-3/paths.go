package main

import (
	"strings"
	"time"
)

// looseTargets hold characters that clients such as browsers and curl send as they are in a
// path, and strictTargets the same targets with those characters encoded.
var (
	looseTargets = []string{"oak|elm", "notes/a%2Fb|c", "notes/x%2F..%2Fy|z", "{id}", "caf\u00e9", "a^b", "a%2Fb\\c"}
	plainTargets = []string{"2f", "a%2Fb", "a//b", "a;b=1?x=a+b%20c&&y", "a'()*!", "[a]", "%41~?x=|"}
)

var strictText = strings.NewReplacer("|", "%7C", "{", "%7B", "}", "%7D", "\u00e9", "%C3%A9", "^", "%5E", "\\", "%5C")

const pathRounds = 20

// paths is case 13: requests whose paths hold characters that are not encoded.
func paths(dir, file string) int {
	rec := newRecord(file)
	_, bs, nodes := deployment(dir, 3, 0)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	time.Sleep(2 * time.Second)
	var sent, answered, run, changed int
	for round := range pathRounds {
		for i, target := range append(append([]string{}, plainTargets...), looseTargets...) {
			if !trouble() {
				target = strictText.Replace(target)
			}
			nd := nodes[(round+i)%len(nodes)]
			path := "/xapu221/ny95/" + target
			r := send(nd.front, "POST", "hulo84.example", path, "x", 1500*time.Millisecond)
			sent++
			if r.status == 200 {
				answered++
			}
			for _, b := range bs {
				b.mu.Lock()
				text, ok := b.bodies[r.id]
				b.mu.Unlock()
				if !ok {
					continue
				}
				run++
				got := strings.TrimSuffix(strings.TrimPrefix(text, "POST "), " x")
				if got != path {
					changed++
				}
				if round == 0 {
					rec.line("request %s at %s, path %q, status %d; run by %s with path %q", r.id, nd.name, path, r.status, b.id, got)
				}
			}
		}
	}
	code := held
	if changed > 0 {
		code = broken
	}
	rec.line("%d requests sent, %d answered with 200, %d run, %d of them with another path", sent, answered, run, changed)
	rec.line("%s", verdict(code))
	rec.close()
	return code
}
