package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// reply is what a client saw of one request.
type reply struct {
	id, instance string
	sent, got    time.Time
	status       int // 0 without an answer.
	seal, body   string
	err          string
}

// load sends requests at a steady rate to instances.
type load struct {
	lab       *lab
	targets   []*instance
	perSecond int
	method    string
	host      string
	path      string
	body      string
	timeout   time.Duration
	idPrefix  string

	count   atomic.Int64
	mu      sync.Mutex
	replies []reply
	wg      sync.WaitGroup
	cancel  context.CancelFunc
}

func (d *load) start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		t := time.NewTicker(time.Second / time.Duration(d.perSecond))
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			n := d.count.Add(1)
			d.wg.Add(1)
			go func() {
				defer d.wg.Done()
				d.send(client, n)
			}()
		}
	}()
}

func (d *load) send(client *http.Client, n int64) {
	d.sendAs(client, d.targets[int(n)%len(d.targets)], fmt.Sprintf("%s%06d", d.idPrefix, n))
}

// sendAs sends a request with this ID to i.
func (d *load) sendAs(client *http.Client, i *instance, id string) {
	r := reply{id: id, instance: i.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), d.timeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, d.method, "http://"+i.front+d.path, strings.NewReader(d.body))
	req.Host = d.host
	req.Header.Set("Sardinelever-Request-Id", r.id)
	req.Header.Set("Sardinelever-Deadline-Ms", fmt.Sprint(d.timeout.Milliseconds()))
	resp, err := client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.seal, r.body = resp.StatusCode, resp.Header.Get("Sardinelever-Response-Seal"), string(body)
	}
	r.got = time.Now()
	if err != nil {
		r.err = err.Error()
	}
	d.mu.Lock()
	d.replies = append(d.replies, r)
	d.mu.Unlock()
}

// stop ends the load and returns what its clients saw.
func (d *load) stop() []reply {
	d.cancel()
	d.wg.Wait()
	return d.replies
}

// statuses counts the answers by their status.
func statuses(rs []reply) map[int]int {
	n := map[int]int{}
	for _, r := range rs {
		n[r.status]++
	}
	return n
}
