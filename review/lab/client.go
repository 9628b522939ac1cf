package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one request of a client with its answer.
type attempt struct {
	id, instance   string
	sentAt, doneAt time.Time
	status         int // 0 when the connection ended without an answer.
	err            error
}

// clients sends requests to the instances and keeps what was answered.
type clients struct {
	record *recorder
	last   atomic.Int64
	mu     sync.Mutex
	sent   map[string]attempt
	tasks  sync.WaitGroup
}

func newClients(r *recorder) *clients { return &clients{record: r, sent: make(map[string]attempt)} }

// request describes the requests of one kind.
type request struct {
	method, host, path, body string
	limit                    time.Duration
}

// loop sends a request to i every period until ctx is done, over kept connections.
func (c *clients) loop(ctx context.Context, i *instance, q request, period time.Duration) {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second}}
		defer client.CloseIdleConnections()
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				c.tasks.Add(1)
				go func() {
					defer c.tasks.Done()
					c.send(client, i, q)
				}()
			}
		}
	}()
}

// send sends one request and waits for its answer until its time limit.
func (c *clients) send(client *http.Client, i *instance, q request) attempt {
	a := attempt{id: fmt.Sprintf("%016x", 0x1c41000000000000+c.last.Add(1)), instance: i.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.limit)
	defer cancel()
	var body io.Reader
	if q.body != "" {
		body = strings.NewReader(q.body)
	}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+i.front+q.path, body)
	if err != nil {
		cannotRun("request: %v", err)
	}
	req.Host = q.host
	req.Header.Set("Sardinelever-Request-Id", a.id)
	req.Header.Set("Sardinelever-Deadline-Ms", strconv.FormatInt(q.limit.Milliseconds(), 10))
	c.keep(a)
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		a.status = resp.StatusCode
	}
	a.err, a.doneAt = err, time.Now()
	c.keep(a)
	c.record.line("client", "%s to %s sent %.3f: status %d error %v", a.id, a.instance, c.record.since(a.sentAt), a.status, a.err)
	return a
}

func (c *clients) keep(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[a.id] = a
}

func (c *clients) attempt(id string) (attempt, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.sent[id]
	return a, ok
}

// counts returns the number of requests by status.
func (c *clients) counts() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := make(map[int]int)
	for _, a := range c.sent {
		n[a.status]++
	}
	return fmt.Sprint(n)
}
