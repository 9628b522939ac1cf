package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backend is a stand-in for a backend server: it runs slots requests at a time, queues a few
// more, and gives up a request when its connection closes.
type backend struct {
	id, service, addr string
	born              int64
	slots             int
	work              time.Duration

	mu      sync.Mutex
	runs    map[string]int
	bodies  map[string]string
	waiting int
	sem     chan struct{}
	l       net.Listener
}

func newBackend(id, service string, slots int, work time.Duration) *backend {
	b := &backend{id: id, service: service, slots: slots, work: work, runs: map[string]int{}, bodies: map[string]string{}, sem: make(chan struct{}, slots), born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	b.l, b.addr = l, l.Addr().String()
	go b.accept()
	return b
}

func (b *backend) accept() {
	for {
		c, err := b.l.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

// record is the entry of the backend in the store.
func (b *backend) record(sequence int) map[string]any {
	return map[string]any{
		"Address": b.addr, "born": b.born,
		"Info":   map[string]any{"Service": b.service, "Version": "v1", "Zone": "gwynedd", "Slots": b.slots},
		"Status": map[string]any{"State": "ready", "Sequence": sequence, "ColdRemaining": "0ms"},
	}
}

// oddServe serves the connections instead if it is set.
var oddServe func(b *backend, c net.Conn)

func (b *backend) serve(c net.Conn) {
	if oddServe != nil {
		oddServe(b, c)
		return
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !b.handle(c, in, req) {
			return
		}
	}
}

func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", len(b.sem), b.waiting, b.slots)
}

func (b *backend) answer(c net.Conn, id string, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nSardinelever-Request-Id: %s\r\nSardinelever-Server-Load: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, http.StatusText(status), id, b.load(), len(body), header, body)
	return err == nil
}

// handle serves one request and reports whether the connection is kept.
func (b *backend) handle(c net.Conn, in *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("Sardinelever-Request-Id")
	if req.URL.Path == "/healthz" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSardinelever-Instance-Id: %s\r\nSardinelever-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", b.id, b.load())
		return err == nil
	}
	if want := req.Header.Get("Sardinelever-Expect-Instance"); want != "" && want != b.id {
		return b.answer(c, id, 421, "Sardinelever-Not-Executed: 1\r\n", "")
	}
	if id == "" {
		return b.answer(c, id, 400, "Sardinelever-Not-Executed: 1\r\n", "")
	}
	ms, _ := strconv.Atoi(req.Header.Get("Sardinelever-Deadline-Ms"))
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	_ = c.SetReadDeadline(deadline)
	body, err := io.ReadAll(req.Body)
	_ = c.SetReadDeadline(time.Time{})
	if err != nil {
		return false
	}
	b.mu.Lock()
	if b.waiting >= 8 {
		b.mu.Unlock()
		return b.answer(c, id, 503, "Sardinelever-Not-Executed: 1\r\n", "")
	}
	b.waiting++
	b.mu.Unlock()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	ok := false
	select {
	case b.sem <- struct{}{}:
		ok = true
	case <-t.C:
	}
	b.mu.Lock()
	b.waiting--
	if ok {
		b.runs[id]++
		b.bodies[id] = req.Method + " " + req.RequestURI + " " + string(body)
	}
	b.mu.Unlock()
	if !ok {
		return b.answer(c, id, 503, "Sardinelever-Not-Executed: 1\r\n", "")
	}
	time.Sleep(b.work)
	<-b.sem
	text := fmt.Sprintf("answer of %s to %s, %s\n", b.id, id, req.RequestURI)
	header := fmt.Sprintf("Sardinelever-Response-Seal: 3e1b.07.%x.600.0.c9f2a4d1\r\n", len(text))
	return b.answer(c, id, 200, header, text)
}
