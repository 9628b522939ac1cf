package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	stalledClients = 120
	stalledRounds  = 5
	stalledTimeout = 1500 * time.Millisecond // Timeout of the route.
	answerSlack    = 500 * time.Millisecond  // Of the rule.
	stalledPause   = 5 * time.Second         // Between the two parts of a slow request.
)

// stalledResult is what a client saw of a request whose end comes late.
type stalledResult struct {
	id     string
	status int
	err    error
	took   time.Duration // Until the whole answer or the end of the connection.
}

// sendStalled sends one request in two chunks, the second after pause or with its answer.
func sendStalled(addr string, pause time.Duration) stalledResult {
	r := stalledResult{id: newID()}
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(pause + 5*time.Second))
	start := time.Now()
	_, _ = fmt.Fprintf(c, "POST /xapu221/ny95/2f HTTP/1.1\r\nHost: hulo84.example\r\nSardinelever-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", r.id)
	rest := func() { _, _ = io.WriteString(c, "5\r\nworld\r\n0\r\n\r\n") }
	if pause > 0 {
		defer time.AfterFunc(pause, rest).Stop()
	} else {
		rest()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	r.took, r.err = time.Since(start), err
	if err == nil {
		r.status = resp.StatusCode
	}
	return r
}

// stalled is case 12: a crowd sends requests in chunks and stops half-way.
func stalled(dir, file string) int {
	rec := newRecord(file)
	_, bs, nodes := deployment(dir, 3, 100*time.Millisecond)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	time.Sleep(2 * time.Second)
	pause := time.Duration(0)
	if trouble() {
		pause = stalledPause
	}
	var late, unanswered int // Requests without an answer at Timeout, and half a second later.
	for round := range stalledRounds {
		results := make([]stalledResult, stalledClients)
		var wg sync.WaitGroup
		for i := range results {
			wg.Add(1)
			go func() {
				defer wg.Done()
				results[i] = sendStalled(nodes[i%len(nodes)].front, pause)
			}()
		}
		wg.Wait()
		var t tally
		for i, r := range results {
			name := nodes[i%len(nodes)].name
			answer := fmt.Sprint(r.status)
			if r.err != nil {
				answer = "no answer, " + r.err.Error()
			}
			t.add("status " + fmt.Sprint(r.status))
			if r.took > stalledTimeout {
				late++
			}
			if r.took > stalledTimeout+answerSlack {
				unanswered++
				if round == 0 {
					rec.line("request %s at %s: %s after %.3f s", r.id, name, answer, r.took.Seconds())
				}
			}
		}
		rec.line("round %d: %d requests sent; %s", round+1, stalledClients, t.counts())
		time.Sleep(time.Second)
	}
	runs := 0
	for _, b := range bs {
		b.mu.Lock()
		runs += len(b.runs)
		b.mu.Unlock()
	}
	code := held
	if late > 0 && 2*unanswered > late {
		code = broken
	}
	rec.line("backends have run %d requests; %d of %d were unanswered at the Timeout of their route, %d of them half a second later", runs, late, stalledClients*stalledRounds, unanswered)
	rec.line("%s", verdict(code))
	rec.close()
	return code
}
