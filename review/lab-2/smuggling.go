package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["6"] = playSmuggling }

const (
	// smugglingTime is how long the hostile client sends, a request each smugglingGap.
	smugglingTime = 10 * time.Second
	smugglingGap  = 50 * time.Millisecond
	ordinaryBody  = "order of an ordinary caller"
)

// playSmuggling lets a client send requests whose chunked bodies contain another request,
// beside ordinary callers.
func playSmuggling(l *lab, trouble bool) (bool, error) {
	all, err := l.startSmallDeployment()
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	ordinary := &load{lab: l, targets: l.instances, perSecond: 100, method: http.MethodPut, host: "shop.example", path: "/orders/2", body: ordinaryBody, timeout: 1500 * time.Millisecond, idPrefix: "o"}
	ordinary.start()
	method := http.MethodPost
	if trouble {
		method = http.MethodConnect
	}
	answers := map[int]int{}
	end := time.Now().Add(smugglingTime)
	sent := 0
	for ; time.Now().Before(end); sent++ {
		i := l.instances[sent%len(l.instances)]
		status := sendInner(i.front, method, sent)
		l.note("outer%d: %s /orders/1 sent to %s with inner%d in its body, answered %d", sent, method, i.name, sent, status)
		answers[status]++
		time.Sleep(smugglingGap)
	}
	rs := ordinary.stop()
	l.note("hostile client: %d requests %s /orders/1 with another request in the chunked body, answers by status (0: none) %v", sent, method, answers)
	l.note("ordinary callers: answers by status (0: none) %v", statuses(rs))
	for _, r := range rs {
		if r.status != http.StatusOK {
			l.note("%s: PUT /orders/2 sent to %s, answered %d, runs under its ID: %d", r.id, r.instance, r.status, len(all.of(r.id)))
		}
	}
	unasked, changed := l.countUnasked(all, "inner"), l.countChanged(all, rs, ordinary)
	return unasked+changed > 0, nil
}

// sendInner sends a request with a chunked body that contains a request of another ID:
// alternately a whole one and the first part of one. It returns the status of the answer,
// 0 for none.
func sendInner(addr, method string, n int) int {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	inner := fmt.Sprintf("PUT /orders/9 HTTP/1.1\r\nSardinelever-Request-Id: inner%d\r\n", n)
	if n%2 == 0 {
		inner += "Host: shop.example\r\nContent-Length: 0\r\n\r\n"
	} else {
		inner += "X-Rest: " // The next request on the connection follows.
	}
	fmt.Fprintf(conn, "%s /orders/1 HTTP/1.1\r\nHost: shop.example\r\nSardinelever-Request-Id: outer%d\r\nSardinelever-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", method, n, len(inner), inner)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// countUnasked notes and returns how many runs had an ID with this prefix, which no client
// has sent as the ID of a request.
func (l *lab) countUnasked(all *runs, prefix string) (n int) {
	all.mu.Lock()
	defer all.mu.Unlock()
	for id, xs := range all.byID {
		if !strings.HasPrefix(id, prefix) {
			continue
		}
		for _, x := range xs {
			n++
			l.note("%s: run by %s as %s %s, body %s; no client has sent this ID", id, x.server, x.method, x.uri, x.bodyHash)
		}
	}
	withBody := 0
	for id, xs := range all.byID {
		for _, x := range xs {
			if strings.HasPrefix(id, prefix) && x.bodyHash == hashOf(ordinaryBody) {
				withBody++
				l.note("%s: run by %s as %s %s with the body of an ordinary caller", id, x.server, x.method, x.uri)
			}
		}
	}
	l.note("runs with an ID that no client has sent: %d, of these with the body of an ordinary caller: %d", n, withBody)
	return n
}

// countChanged notes and returns how many requests of d have run with another method, path
// or body.
func (l *lab) countChanged(all *runs, rs []reply, d *load) (n int) {
	for _, r := range rs {
		for _, x := range all.of(r.id) {
			if x.method == d.method && x.uri == d.path && x.bodyHash == hashOf(d.body) {
				continue
			}
			if n++; n <= 5 {
				l.note("%s: sent as %s %s, run by %s as %s %s, body %s; the caller got %d", r.id, d.method, d.path, x.server, x.method, x.uri, x.bodyHash, r.status)
			}
		}
	}
	l.note("ordinary requests that have run with another method, path or body: %d", n)
	return n
}
