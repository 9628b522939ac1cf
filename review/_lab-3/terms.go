package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// terms: instances are stopped and started in turn while clients keep their connections.
func terms(dir, file string) int {
	rec := newRecord(file)
	_, bs, nodes := deployment(dir, 3, 150*time.Millisecond)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	time.Sleep(2 * time.Second)
	var t tally
	var stop atomic.Bool
	var wg sync.WaitGroup
	var lost atomic.Int64
	for k := range env("CLIENTS", 40) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for !stop.Load() {
				nd := nodes[rand.IntN(3)]
				c, err := net.DialTimeout("tcp", nd.front, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				in := bufio.NewReader(c)
				for i := 0; !stop.Load() && i < 50; i++ {
					id := newID()
					began := time.Now()
					_ = c.SetDeadline(began.Add(2500 * time.Millisecond))
					body := strings.Repeat("x", 1+rand.IntN(100000))
					chunked := k%4 == 0
					text := fmt.Sprintf("POST /xapu221/ny95/2f HTTP/1.1\r\nHost: hulo84.example\r\nSardinelever-Request-Id: %s\r\nSardinelever-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
					if chunked {
						text = fmt.Sprintf("POST /xapu221/ny95/2f HTTP/1.1\r\nHost: hulo84.example\r\nSardinelever-Request-Id: %s\r\nSardinelever-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
					}
					if k%2 == 1 {
						text = fmt.Sprintf("GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nSardinelever-Request-Id: %s\r\nSardinelever-Deadline-Ms: 1200\r\n\r\n", id)
					}
					_, err := io.WriteString(c, text)
					last := time.Now()
					var resp *http.Response
					if err == nil {
						resp, err = http.ReadResponse(in, nil)
					}
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
					}
					if err != nil {
						runs := 0
						for _, b := range bs {
							b.mu.Lock()
							runs += b.runs[id]
							b.mu.Unlock()
						}
						if runs > 0 || time.Since(last) > 200*time.Millisecond {
							lost.Add(1)
							rec.line("LOST %s at %s: request %d of its connection, %d bytes, runs %d, %v after its last byte: %v", id, nd.name, i+1, len(text), runs, time.Since(last), err)
						}
						t.add("closed")
						break
					}
					t.add(fmt.Sprint(resp.StatusCode))
					if resp.Close {
						break
					}
					time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				}
				_ = c.Close()
			}
		}()
	}
	end := time.Now().Add(time.Duration(env("SECONDS", 60)) * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		nd := nodes[i%3]
		nd.signal(syscall.SIGTERM)
		began := time.Now()
		select {
		case <-nd.done:
		case <-time.After(6 * time.Second):
			rec.line("%s still runs at the end of Grace", nd.name)
			nd.signal(syscall.SIGKILL)
			<-nd.done
		}
		rec.line("%s ended %.2f s after SIGTERM; %s", nd.name, time.Since(began).Seconds(), t.counts())
		nd.start(dir)
		nd.awaitReady()
		time.Sleep(3 * time.Second)
	}
	stop.Store(true)
	wg.Wait()
	rec.line("%d lost", lost.Load())
	if lost.Load() > 0 {
		return broken
	}
	return held
}
