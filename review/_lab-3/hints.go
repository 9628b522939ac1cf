package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	hintCount   = 3 // Informational answers of a backend to one request.
	hintClients = 12
	hintTime    = 20 * time.Second
)

// hintsBackend answers 100 to a request that expects it and, with the disturbance, 103
// before it reads the body.
type hintsBackend struct {
	mu   sync.Mutex
	runs map[string]bool
}

func (h *hintsBackend) serve(b *backend, c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("Sardinelever-Request-Id")
		if req.URL.Path == "/healthz" {
			if _, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSardinelever-Instance-Id: %s\r\nSardinelever-Server-Load: 0,0,%d,100\r\nContent-Length: 0\r\n\r\n", b.id, b.slots); err != nil {
				return
			}
			continue
		}
		early := "HTTP/1.1 100 Continue\r\n\r\n"
		if trouble() {
			early += strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n", hintCount)
		}
		_, _ = io.WriteString(c, early)
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		h.mu.Lock()
		h.runs[id] = true
		h.mu.Unlock()
		text := fmt.Sprintf("answer to %s, %d bytes", id, len(body))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSardinelever-Request-Id: %s\r\nSardinelever-Response-Seal: 3e1b.07.%x.600.0.c9f2a4d1\r\nContent-Length: %d\r\n\r\n%s", id, len(text), len(text), text)
	}
}

// expectResult is what a client saw of a request that expects 100 Continue.
type expectResult struct {
	id, text string // Text is all that came up to the end of the final header, or to what is no answer.
	status   int
	err      error
	garbled  bool // Bytes came that are no answer in the protocol.
}

// sendExpect sends one request that expects 100 Continue.
func sendExpect(addr string) (r expectResult) {
	r.id = newID()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	_, _ = fmt.Fprintf(c, "POST /xapu221/ny95/2f HTTP/1.1\r\nHost: hulo84.example\r\nSardinelever-Request-Id: %s\r\nSardinelever-Deadline-Ms: 1500\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n", r.id)
	in := bufio.NewReader(c)
	for sent := false; r.status < 200; {
		line, err := in.ReadString('\n')
		r.text += line
		if r.err = err; err != nil {
			return r
		}
		if n, _ := fmt.Sscanf(line, "HTTP/1.1 %d", &r.status); n != 1 || r.status < 100 || r.status > 599 {
			r.garbled, r.err = true, fmt.Errorf("%q is no status line", line)
			return r
		}
		if r.status == 100 && !sent {
			sent = true
			_, _ = io.WriteString(c, "hello")
		}
		for line != "\r\n" {
			line, err = in.ReadString('\n')
			r.text += line
			if r.err = err; err != nil {
				return r
			}
			if line != "\r\n" && !strings.Contains(line, ": ") {
				r.garbled, r.err = true, fmt.Errorf("%q is no field line", line)
				return r
			}
		}
	}
	return r
}

// hints: backends send informational answers before they read the body of a request that
// expects 100 Continue.
func hints(dir, file string) int {
	rec := newRecord(file)
	h := &hintsBackend{runs: map[string]bool{}}
	oddServe = h.serve
	_, _, nodes := deployment(dir, 3, 0)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	time.Sleep(time.Second)
	var t tally
	var mu sync.Mutex
	var sent, garbled, run int
	for i := range hintClients {
		go func() {
			for {
				nd := nodes[i%len(nodes)]
				r := sendExpect(nd.front)
				mu.Lock()
				sent++
				if r.garbled {
					garbled++
					h.mu.Lock()
					if h.runs[r.id] {
						run++
					}
					h.mu.Unlock()
					if garbled <= 20 {
						rec.line("request %s at %s: %v; all that came: %q", r.id, nd.name, r.err, r.text)
					}
				}
				mu.Unlock()
				name := fmt.Sprint("status ", r.status)
				if r.garbled {
					name = "no answer in the protocol"
				} else if r.err != nil {
					name = "ended without an answer"
				}
				t.add(name)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	for end := time.Now().Add(hintTime); time.Now().Before(end); time.Sleep(time.Second) {
		for _, nd := range nodes {
			select {
			case err := <-nd.done:
				rec.line("the process of %s ended by itself (%v): %s", nd.name, err, nd.lastWords())
				nd.start(dir)
			default:
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	code := held
	if garbled > 0 {
		code = broken
	}
	rec.line("%s", t.counts())
	h.mu.Lock()
	all := len(h.runs)
	h.mu.Unlock()
	rec.line("%d requests sent, %d run by the backends; %d clients got bytes that are no answer in the protocol, for %d of these a backend has run the request when the client had read them", sent, all, garbled, run)
	rec.line("%s", verdict(code))
	rec.close()
	return code
}
