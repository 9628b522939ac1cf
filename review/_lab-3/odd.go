package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// oddRun is what an odd backend has done for a request.
type oddRun struct {
	runs  int
	body  string
	acts  []string
	whole bool // The body was read to its end.
}

type oddBackends struct {
	mu   sync.Mutex
	runs map[string]*oddRun
}

func seal(body string) string {
	return fmt.Sprintf("%d.%x", len(body), sha256.Sum256([]byte(body)))[:20]
}

var oddActs = strings.Fields("ok ok ok ok large chunked trailers early informational cut cutchunk unframed unframedreset extra extralate fail shed pause close hang silent reset resetread wrongid noid unsealed slow earlybig nocontent earlyreset")

// serveOdd serves one connection of an odd backend.
func (o *oddBackends) serveOdd(b *backend, c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	reset := func() {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("Sardinelever-Request-Id")
		if req.URL.Path == "/healthz" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSardinelever-Instance-Id: %s\r\nSardinelever-Server-Load: 0,0,%d,100\r\nContent-Length: 0\r\n\r\n", b.id, b.slots)
			continue
		}
		act := oddActs[rand.IntN(len(oddActs))]
		if v := os.Getenv("ACT"); v != "" {
			act = strings.Fields(v)[rand.IntN(len(strings.Fields(v)))]
		}
		o.mu.Lock()
		r := o.runs[id]
		if r == nil {
			r = &oddRun{}
			o.runs[id] = r
		}
		r.acts = append(r.acts, act+"@"+b.id)
		o.mu.Unlock()
		head := func(status int, extra string) string {
			return fmt.Sprintf("HTTP/1.1 %d X\r\nSardinelever-Request-Id: %s\r\nSardinelever-Server-Load: 1,0,%d,100\r\n%s", status, id, b.slots, extra)
		}
		run := func() {
			o.mu.Lock()
			r.runs++
			o.mu.Unlock()
		}
		early := act == "early" || act == "earlybig" || act == "shed" && rand.IntN(2) == 0 || act == "resetread"
		if act == "earlyreset" {
			run()
			text := strings.Repeat("answer of "+b.id+" to "+id+"\n", 20)
			_, _ = io.WriteString(c, head(200, "Sardinelever-Response-Seal: "+seal(text)+"\r\nConnection: close\r\n\r\n")+text[:rand.IntN(len(text))])
			time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
			reset()
			return
		}
		if act == "resetread" {
			run()
			reset()
			return
		}
		if !early {
			ms := time.Now().Add(1500 * time.Millisecond)
			_ = c.SetReadDeadline(ms)
			body, err := io.ReadAll(req.Body)
			_ = c.SetReadDeadline(time.Time{})
			if err != nil {
				return
			}
			o.mu.Lock()
			r.body, r.whole = req.Method+" "+req.RequestURI+" "+string(body), true
			o.mu.Unlock()
		}
		text := fmt.Sprintf("answer of %s to %s, %s\n", b.id, id, req.RequestURI)
		if act == "large" || act == "slow" || act == "earlybig" {
			text = strings.Repeat(text, 1+rand.IntN(6000))
		}
		s := "Sardinelever-Response-Seal: " + seal(text) + "\r\n"
		plain := head(200, s+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text))) + text
		if req.Method == "HEAD" {
			plain = head(200, s+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text)))
		}
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		switch act {
		case "shed":
			_, _ = io.WriteString(c, head(503, "Sardinelever-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
		case "pause":
			_, _ = io.WriteString(c, head(503, "Sardinelever-Not-Executed: 1\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n"))
		case "fail":
			run()
			_, _ = io.WriteString(c, head(500, s+"Content-Length: 5\r\n\r\nerror"))
		case "reset":
			run()
			reset()
			return
		case "hang":
			run()
			time.Sleep(2 * time.Second)
			return
		case "silent":
			time.Sleep(2 * time.Second)
			return
		default:
			run()
		}
		if req.Method == "HEAD" && act != "shed" && act != "pause" && act != "fail" {
			_, _ = io.WriteString(c, plain)
			continue
		}
		switch act {
		case "ok", "large", "early", "earlybig":
			_, _ = io.WriteString(c, plain)
			if early {
				_, _ = io.Copy(io.Discard, req.Body)
			}
		case "slow":
			_, _ = io.WriteString(c, plain[:len(plain)/2])
			time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			_, _ = io.WriteString(c, plain[len(plain)/2:])
		case "nocontent":
			_, _ = io.WriteString(c, head(204, "Sardinelever-Response-Seal: "+seal("")+"\r\n\r\n"))
		case "informational":
			for range rand.IntN(5) {
				_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
				time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
			}
			_, _ = io.WriteString(c, plain)
		case "chunked", "trailers", "cutchunk":
			trailer, end := "", "0\r\n\r\n"
			if act == "trailers" {
				trailer, end = "Trailer: X-A,X-B\r\n", "0\r\nX-A: 1\r\nX-B: 2\r\n\r\n"
			}
			_, _ = io.WriteString(c, head(200, s+trailer+"Transfer-Encoding: chunked\r\n\r\n"))
			for p := text; len(p) > 0; {
				n := min(len(p), 1+rand.IntN(40))
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", n, p[:n])
				p = p[n:]
				if act == "cutchunk" && rand.IntN(3) == 0 {
					return
				}
			}
			if act == "cutchunk" {
				return
			}
			_, _ = io.WriteString(c, end)
		case "cut":
			_, _ = io.WriteString(c, plain[:rand.IntN(len(plain))])
			return
		case "unframed":
			_, _ = io.WriteString(c, head(200, s+"Connection: close\r\n\r\n")+text)
			return
		case "unframedreset":
			_, _ = io.WriteString(c, head(200, s+"Connection: close\r\n\r\n")+text[:rand.IntN(len(text))])
			time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
			reset()
			return
		case "extra":
			_, _ = io.WriteString(c, plain+plain)
		case "extralate":
			_, _ = io.WriteString(c, plain)
			time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			_, _ = io.WriteString(c, plain)
		case "close":
			_, _ = io.WriteString(c, strings.Replace(plain, "Content-Length", "Connection: close\r\nContent-Length", 1))
			return
		case "wrongid":
			_, _ = io.WriteString(c, strings.Replace(plain, id, newID(), 1))
		case "noid":
			_, _ = io.WriteString(c, strings.Replace(plain, "Sardinelever-Request-Id: "+id+"\r\n", "", 1))
		case "unsealed":
			_, _ = io.WriteString(c, strings.Replace(plain, s, "", 1))
		}
	}
}

// oddRequest is one request of an odd client.
type oddRequest struct {
	id, method, path, body, how string
	status                      int
	seal, answer                string
	err                         error
	took                        time.Duration
	whole                       bool
}

var oddWays = strings.Fields("plain plain chunked slowchunk slowlength expect head slowread abort abortbody pipeline old trailers bigbody bigchunk")

func sendOdd(addr string) *oddRequest {
	r := &oddRequest{id: newID(), how: oddWays[rand.IntN(len(oddWays))], method: "GET", path: "/lepu270/2f?x=1"}
	if v := os.Getenv("HOW"); v != "" {
		r.how = strings.Fields(v)[rand.IntN(len(strings.Fields(v)))]
	}
	host := "jepu9.example"
	if r.how != "head" && r.how != "slowread" && r.how != "pipeline" && rand.IntN(3) > 0 || strings.Contains(r.how, "chunk") || strings.Contains(r.how, "length") || strings.Contains(r.how, "body") || r.how == "trailers" || r.how == "expect" {
		r.method, r.path, host = "POST", "/xapu221/ny95/2f", "hulo84.example"
		if rand.IntN(3) == 0 {
			r.path, host = "/lepu270/2f", "jepu9.example" // Safe with a body.
		}
		r.body = strings.Repeat("body of "+r.id, 1+rand.IntN(300))
		if strings.HasPrefix(r.how, "big") {
			r.body = strings.Repeat("body of "+r.id, 3000+rand.IntN(20000))
		}
	}
	if r.how == "head" {
		r.method = "HEAD"
	}
	start := time.Now()
	defer func() { r.took = time.Since(start) }()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	version := "1.1"
	if r.how == "old" {
		version = "1.0"
	}
	head := func(id, extra string) string {
		return fmt.Sprintf("%s %s HTTP/%s\r\nHost: %s\r\nSardinelever-Request-Id: %s\r\nSardinelever-Deadline-Ms: 1500\r\n%s\r\n", r.method, r.path, version, host, id, extra)
	}
	in := bufio.NewReader(c)
	length := ""
	if r.body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	write := func(s string) { _, _ = io.WriteString(c, s) }
	slow := func(s string, k int) {
		for i := range k {
			write(s[len(s)*i/k : len(s)*(i+1)/k])
			time.Sleep(time.Duration(rand.IntN(120)) * time.Millisecond)
		}
	}
	chunks := func(trailer string) string {
		var b strings.Builder
		for p := r.body; len(p) > 0; {
			n := min(len(p), 1+rand.IntN(1+len(r.body)/3))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, p[:n])
			p = p[n:]
		}
		return b.String() + "0\r\n" + trailer + "\r\n"
	}
	switch r.how {
	case "chunked", "bigchunk":
		write(head(r.id, "Transfer-Encoding: chunked\r\n") + chunks(""))
	case "slowchunk":
		write(head(r.id, "Transfer-Encoding: chunked\r\n"))
		slow(chunks(""), 4)
	case "trailers":
		write(head(r.id, "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n") + chunks("X-T: 1\r\n"))
	case "slowlength":
		write(head(r.id, length))
		slow(r.body, 4)
	case "expect":
		write(head(r.id, "Expect: 100-continue\r\n"+length))
		line, err := in.ReadString('\n')
		if err != nil {
			r.err = err
			return r
		}
		if strings.Contains(line, " 100") {
			for line != "\r\n" {
				if line, r.err = in.ReadString('\n'); r.err != nil {
					return r
				}
			}
			write(r.body)
		} else {
			in = bufio.NewReader(io.MultiReader(strings.NewReader(line), in))
		}
	case "abort":
		write(head(r.id, length) + r.body)
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		return r
	case "abortbody":
		write(head(r.id, length) + r.body[:rand.IntN(len(r.body))])
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		return r
	case "pipeline":
		write(head(newID(), length) + head(r.id, length))
		req := &http.Request{Method: r.method}
		resp, err := http.ReadResponse(in, req)
		for err == nil && resp.StatusCode < 200 {
			resp, err = http.ReadResponse(in, req)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			return r
		}
	default:
		write(head(r.id, length) + r.body)
	}
	r.whole = true
	req := &http.Request{Method: r.method}
	resp, err := http.ReadResponse(in, req)
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(in, req)
	}
	if err != nil {
		r.err = err
		return r
	}
	if r.how == "slowread" {
		time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.seal, r.answer = resp.StatusCode, resp.Header.Get("Sardinelever-Response-Seal"), string(text)
	return r
}

// odd: clients and backends that do many odd things, with a judge.
func odd(dir, file string) int {
	rec := newRecord(file)
	o := &oddBackends{runs: map[string]*oddRun{}}
	oddServe = o.serveOdd
	_, _, nodes := deployment(dir, 3, 0)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	time.Sleep(time.Second)
	var t tally
	var mu sync.Mutex
	var seen []*oddRequest
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range env("CLIENTS", 24) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for !stop.Load() {
				r := sendOdd(nodes[rand.IntN(3)].front)
				mu.Lock()
				seen = append(seen, r)
				mu.Unlock()
				t.add(fmt.Sprint(r.status))
				time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
			}
		}()
	}
	for i := range env("SECONDS", 30) {
		time.Sleep(time.Second)
		if i%5 == 4 {
			rec.line("%s", t.counts())
		}
		for _, nd := range nodes {
			select {
			case err := <-nd.done:
				rec.line("ENDED %s %v %s", nd.name, err, nd.lastWords())
				nd.start(dir)
			default:
			}
		}
	}
	stop.Store(true)
	wg.Wait()
	for _, nd := range nodes {
		nd.signal(syscall.SIGTERM)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	bad := 0
	for _, r := range seen {
		run := o.runs[r.id]
		if run == nil {
			run = &oddRun{}
		}
		unsafe := r.path[1] == 'x'
		var rule string
		switch {
		case unsafe && run.runs > 1:
			rule = "TWICE"
		case unsafe && (r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421) && run.runs > 0:
			rule = "REFUSED"
		case r.status/100 == 2 && (r.seal == "" || r.method != "HEAD" && seal(r.answer) != r.seal):
			rule = "MIXED"
		case r.status/100 == 2 && r.answer != "" && !strings.Contains(r.answer, r.id):
			rule = "MIXED foreign"
		case run.whole && run.body != r.method+" "+r.path+" "+r.body:
			rule = "UNASKED"
		case r.how == "abortbody" && run.whole:
			rule = "UNASKED short body"
		case r.whole && r.took > 2200*time.Millisecond:
			rule = "LATE"
		case r.status == 400 || r.status == 404:
			rule = "DENIED"
		default:
			continue
		}
		bad++
		if bad < 40 {
			rec.line("%s: %s %s %s how %s: status %d, seal %q, %d bytes, took %v, err %v; runs %d %v", rule, r.id, r.method, r.path, r.how, r.status, r.seal, len(r.answer), r.took, r.err, run.runs, run.acts)
		}
	}
	rec.line("%d requests, %d break a rule", len(seen), bad)
	if bad > 0 {
		return broken
	}
	return held
}
