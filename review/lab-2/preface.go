package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["9"] = playPreface }

// prefaceTime is the longest time for which the crowd goes on.
const prefaceTime = 40 * time.Second

// playPreface opens many connections with headers of legal size that have very many short
// fields and stop short of their end. With trouble their request line begins like the
// preface of HTTP/2.
func playPreface(l *lab, trouble bool) (bool, error) {
	all, err := l.startSmallDeployment()
	if err != nil {
		return false, err
	}
	ordinary := &load{lab: l, targets: l.instances, perSecond: 60, method: "POST", host: "shop.example", path: "/orders/2", body: "order", timeout: 1500 * time.Millisecond, idPrefix: "o"}
	ordinary.start()
	time.Sleep(2 * time.Second)
	p := l.watch(memoryMB)
	head := manyFields(trouble)
	var sent atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(prefaceTime)
	for c := range crowd * len(l.instances) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) && !p.isFault() {
				sent.Add(1)
				stopInHeader(l.instances[c%len(l.instances)].front, head)
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	for _, i := range l.instances {
		l.note("%s: peak memory of its last process %.0f MB, the machine has %d MB", i.name, i.peakMemory(), memoryMB)
	}
	p.stop()
	l.note("crowd: %d headers of %d bytes with %d fields, without their end, on at most %d connections to each instance", sent.Load(), len(head), strings.Count(head, "\n")-1, crowd)
	rs := ordinary.stop()
	l.note("ordinary callers: answers by status (0: none) %v", statuses(rs))
	l.checkRuns(all, rs)
	return p.isFault(), nil
}

// manyFields returns a header of legal size with very many short fields that lacks its end.
func manyFields(trouble bool) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	b.WriteString("GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\n")
	if trouble {
		b.Reset()
		b.WriteString("PRI * HTTP/1.1\r\nHost: shop.example\r\n")
	}
	for n := 0; b.Len() < maxHeader-100; n++ {
		for k := n; ; k /= len(letters) {
			b.WriteByte(letters[k%len(letters)])
			if k < len(letters) {
				break
			}
		}
		b.WriteString(":\r\n")
	}
	return b.String()
}

// stopInHeader sends head and waits until the connection is closed.
func stopInHeader(addr, head string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := fmt.Fprint(conn, head); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}
