package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["8"] = playAnnouncedTrailers }

const (
	// memoryMB is MemoryMb of the settings: the platform kills a process that exceeds it.
	memoryMB = 284
	// crowd is the number of connections to each instance that stop short of the end of a
	// body. An instance may have 4,100 descriptors.
	crowd = 1200
	// crowdTime is the longest time for which the crowd goes on.
	crowdTime = 40 * time.Second
	// maxHeader is MaxHeaderBytes of the configuration.
	maxHeader = 16384
)

// playAnnouncedTrailers opens many connections whose requests announce very many short
// trailer fields in a header of legal size and stop just short of the end of their bodies.
func playAnnouncedTrailers(l *lab, trouble bool) (bool, error) {
	all, err := l.startSmallDeployment()
	if err != nil {
		return false, err
	}
	ordinary := &load{lab: l, targets: l.instances, perSecond: 60, method: "POST", host: "shop.example", path: "/orders/2", body: "order", timeout: 1500 * time.Millisecond, idPrefix: "o"}
	ordinary.start()
	time.Sleep(2 * time.Second)
	for _, i := range l.instances {
		l.note("%s: peak memory before the crowd %.0f MB", i.name, i.peakMemory())
	}
	p := l.watch(memoryMB)
	field := fieldNames(trouble)
	var sent atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(crowdTime)
	var mu sync.Mutex
	answers := map[int]int{}
	for c := range crowd * len(l.instances) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			i := l.instances[c%len(l.instances)]
			for n := 0; time.Now().Before(end) && !p.isFault(); n++ {
				sent.Add(1)
				status := stopShort(i.front, fmt.Sprintf("c%04d-%d", c, n), field)
				mu.Lock()
				answers[status]++
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	for _, i := range l.instances {
		l.note("%s: peak memory of its last process %.0f MB, the machine has %d MB", i.name, i.peakMemory(), memoryMB)
	}
	p.stop()
	l.note("crowd: %d requests on at most %d connections to each instance, header of at most %d bytes; answers by status (0: none) %v", sent.Load(), crowd, maxHeader, answers)
	rs := ordinary.stop()
	l.note("ordinary callers: answers by status (0: none) %v", statuses(rs))
	l.checkRuns(all, rs)
	return p.isFault(), nil
}

// fieldNames returns a header field of legal size: with trouble one that announces very
// many trailer fields, otherwise one of the same size.
func fieldNames(trouble bool) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for n := 0; b.Len() < maxHeader-600; n++ {
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		for k := n; ; k /= len(letters) {
			b.WriteByte(letters[k%len(letters)])
			if k < len(letters) {
				break
			}
		}
	}
	if !trouble {
		return "X-Notes: " + b.String()
	}
	return "Trailer: " + b.String()
}

// stopShort sends a request that lacks the end of its body, waits for the answer and
// returns its status, 0 for none.
func stopShort(addr, id, field string) int {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nSardinelever-Request-Id: %s\r\nSardinelever-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n%s\r\n\r\n5\r\norder\r\n", id, field)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}
