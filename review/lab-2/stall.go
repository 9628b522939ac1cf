package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["stall"] = playStall }

const (
	// stalled is the number of requests that stop short of the end of their bodies.
	stalled = 150
	// routeTimeout is the Timeout of the route, and timeoutSlack the time after it within
	// which the rule wants an answer.
	routeTimeout = 1500 * time.Millisecond
	timeoutSlack = 500 * time.Millisecond
	// stallTime is how long the client waits for an answer.
	stallTime = 10 * time.Second
)

// playStall sends requests that stop short of the end of their chunked bodies. More of them
// are open at a time than the service has slots.
func playStall(l *lab, trouble bool) (bool, error) {
	if _, err := l.startSmallDeployment(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers, late := map[int]int{}, 0
	for c := range stalled {
		wg.Add(1)
		time.Sleep(5 * time.Millisecond)
		go func() {
			defer wg.Done()
			start := time.Now()
			status := stallOnce(l.instances[c%len(l.instances)].front, fmt.Sprintf("h%d", c), trouble)
			mu.Lock()
			defer mu.Unlock()
			answers[status]++
			if time.Since(start) > routeTimeout+timeoutSlack {
				late++
			}
		}()
	}
	wg.Wait()
	l.note("%d requests, answers by status (0: none within %v) %v, without an answer %v after the Timeout of their route: %d", stalled, stallTime, answers, timeoutSlack, late)
	return late >= 8 && late > stalled/4, nil
}

// stallOnce sends one request and returns the status of its answer, 0 for none. With
// trouble the end of the body is missing.
func stallOnce(addr, id string, trouble bool) int {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(stallTime))
	end := "0\r\n\r\n"
	if trouble {
		end = ""
	}
	fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nSardinelever-Request-Id: %s\r\nSardinelever-Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n%s", id, end)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}
