package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	trailerFields  = 300 // In one request; 1.2 KB of names and 2.2 KB of fields.
	trailerClients = 45
	plainClients   = 12
	restartDelay   = time.Second
	endsOfNode     = 3 // Ends of one machine's process that count, and the machines on which they must.
	endedNodes     = 2
	trailerTime    = 75 * time.Second
)

// sendTrailers sends one request in chunks that ends with count trailer fields. With a
// pause, its end follows so long after its beginning.
func sendTrailers(addr string, count int, pause time.Duration) result {
	r := result{id: newID(), body: "hello"}
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	var names []string
	var fields strings.Builder
	for i := range count {
		names = append(names, fmt.Sprintf("t%d", i))
		fmt.Fprintf(&fields, "t%d:1\r\n", i)
	}
	text := fmt.Sprintf("POST /xapu221/ny95/2f HTTP/1.1\r\nHost: hulo84.example\r\nSardinelever-Request-Id: %s\r\nSardinelever-Deadline-Ms: 1500\r\n", r.id) +
		"Trailer: " + strings.Join(names, ",") + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	end := "0\r\n" + fields.String() + "\r\n"
	if pause > 0 {
		_, _ = io.WriteString(c, text)
		time.Sleep(pause)
		_, _ = io.WriteString(c, end)
	} else {
		_, _ = io.WriteString(c, text+end)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.err = err
		return r
	}
	if _, r.err = io.ReadAll(resp.Body); r.err == nil {
		r.status = resp.StatusCode
	}
	return r
}

// slowPause returns a pause of a client that sends slowly.
func slowPause() time.Duration { return 90*time.Millisecond + rand.N(20*time.Millisecond) }

// trailers is case 11: some clients send requests in chunks with trailer fields, and their
// end slowly. The processes are started again when they end.
func trailers(dir, file string) int {
	rec := newRecord(file)
	_, bs, nodes := deployment(dir, 3, 20*time.Millisecond)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	time.Sleep(time.Second)
	var slow, plain tally
	for i := range trailerClients {
		go func() {
			for {
				pause := time.Duration(0)
				if trouble() {
					pause = slowPause()
				}
				r := sendTrailers(nodes[i%len(nodes)].front, trailerFields, pause)
				slow.add(fmt.Sprint("status ", r.status))
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	for i := range plainClients {
		go func() {
			for {
				r := send(nodes[i%len(nodes)].front, "GET", "jepu9.example", "/lepu270/2f", "", 1200*time.Millisecond)
				plain.add(fmt.Sprint("status ", r.status))
				if r.err != nil && r.wrote {
					rec.line("request %s of an ordinary client at %s was sent and not answered: %v", r.id, nodes[i%len(nodes)].name, r.err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	ends := make(map[string]int)
	code := held
	next := time.Now().Add(time.Second)
	for end := time.Now().Add(trailerTime); time.Now().Before(end) && code == held; time.Sleep(20 * time.Millisecond) {
		for _, nd := range nodes {
			select {
			case err := <-nd.done:
				ends[nd.name]++
				rec.line("the process of %s ended by itself (%v), for the %d. time: %s", nd.name, err, ends[nd.name], nd.lastWords())
				time.Sleep(restartDelay)
				nd.start(dir)
				nd.awaitReady()
			default:
			}
		}
		if time.Now().After(next) {
			next = next.Add(time.Second)
			rec.line("slow clients: %s | ordinary clients: %s", slow.counts(), plain.counts())
		}
		n := 0
		for _, k := range ends {
			if k >= endsOfNode {
				n++
			}
		}
		if n >= endedNodes {
			code = broken
		}
	}
	runs := 0
	for _, b := range bs {
		b.mu.Lock()
		runs += len(b.runs)
		b.mu.Unlock()
	}
	rec.line("backends have run %d requests; ends by machine: %v", runs, ends)
	rec.line("%s", verdict(code))
	rec.close()
	return code
}

func verdict(code int) string {
	return [...]string{"the rule held", "the rule was broken", "the case could not run"}[code]
}
