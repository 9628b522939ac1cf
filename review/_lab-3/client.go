package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// result is what a client saw of one request.
type result struct {
	id, body string
	status   int // 0: no complete answer.
	seal     string
	err      error
	wrote    bool // The whole request was sent.
	text     string
	took     time.Duration
}

// send sends one request on a new connection and reads its answer.
func send(addr, method, host, path, body string, limit time.Duration) result {
	r := result{id: newID(), body: body}
	began := time.Now()
	defer func() { r.took = time.Since(began) }()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(limit))
	length := ""
	if method != "GET" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, r.err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nSardinelever-Request-Id: %s\r\nSardinelever-Deadline-Ms: %d\r\n%s\r\n%s", method, path, host, r.id, limit.Milliseconds(), length, body); r.err != nil {
		return r
	}
	r.wrote = true
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(in, &http.Request{Method: method})
	}
	if err != nil {
		r.err = err
		return r
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.seal, r.text = resp.StatusCode, resp.Header.Get("Sardinelever-Response-Seal"), string(text)
	if r.status == 200 && !strings.Contains(string(text), r.id) {
		r.err = fmt.Errorf("foreign answer %q", text)
	}
	return r
}

// tally counts outcomes by name.
type tally struct {
	mu sync.Mutex
	n  map[string]int
}

func (t *tally) add(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n == nil {
		t.n = map[string]int{}
	}
	t.n[name]++
}

func (t *tally) take() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.n
	t.n = nil
	return n
}
