package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["path"] = playPaths }

// pathTime is how long the paths are sent, one each pathGap.
const (
	pathTime = 10 * time.Second
	pathGap  = 25 * time.Millisecond
)

// playPaths sends orders whose paths have an encoded slash, with trouble also a character
// that a browser does not encode, and compares them with what the backend servers run.
func playPaths(l *lab, trouble bool) (bool, error) {
	all, err := l.startSmallDeployment()
	if err != nil {
		return false, err
	}
	path := "/orders/2026%2F17%7Cb"
	if trouble {
		path = "/orders/2026%2F17|b"
	}
	sent, changed := 0, 0
	answers := map[int]int{}
	for end := time.Now().Add(pathTime); time.Now().Before(end); sent++ {
		id := fmt.Sprintf("q%d", sent)
		status := l.putRaw(l.instances[sent%len(l.instances)].front, id, path)
		answers[status]++
		for _, x := range all.of(id) {
			if x.uri == path && x.method == http.MethodPut && x.bodyHash == hashOf("order") {
				continue
			}
			if changed++; changed <= 5 {
				l.note("%s: sent as PUT %s, run by %s as %s %s, answered %d", id, path, x.server, x.method, x.uri, status)
			}
		}
		time.Sleep(pathGap)
	}
	l.note("PUT %s: %d requests, answers by status (0: none) %v, run with another path: %d", path, sent, answers, changed)
	return changed > 0, nil
}

// putRaw sends an order with exactly this path and returns the status of the answer, 0 for
// none.
func (l *lab) putRaw(addr, id, path string) int {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: shop.example\r\nSardinelever-Request-Id: %s\r\nSardinelever-Deadline-Ms: 1500\r\nContent-Length: 5\r\n\r\norder", path, id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
