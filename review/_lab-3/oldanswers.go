package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	spoiltBackends = 0.5                     // Part of the backends of a service that spoil answers.
	spoiltAnswers  = 0.03                    // Part of their answers.
	spoiltTime     = 5500 * time.Millisecond // For so long they do.
	oldAnswersTime = 12 * time.Second
	calmTime       = 3 * time.Second // Before that.
	spoiltClients  = 12
)

// spoiler is a stand-in for backends some of which spoil a few of their answers: an interim
// answer is followed by one of HTTP/1.0 with a transfer encoding, whose end is missing.
type spoiler struct {
	mu     sync.Mutex
	order  map[string]int // By backend.
	spoilt map[string]bool
	runs   map[string]int
	first  map[string]string // What the spoilt answers began with.
	from   time.Time         // Start of the disturbance.
}

func (s *spoiler) isSpoiling(b *backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.order[b.id]; !ok {
		s.order[b.id] = len(s.order)
	}
	if since := time.Since(s.from); since < 0 || since > spoiltTime {
		return false
	}
	return float64(s.order[b.id]%2) >= 2*spoiltBackends-0.5 && rand.Float64() < spoiltAnswers
}

func (s *spoiler) serve(b *backend, c net.Conn) {
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
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		text := "answer to " + id + ", first part; last part"
		head := fmt.Sprintf("Sardinelever-Request-Id: %s\r\nSardinelever-Response-Seal: 3e1b.07.%x.600.0.c9f2a4d1\r\n", id, len(text))
		spoil := trouble() && s.isSpoiling(b)
		s.mu.Lock()
		s.runs[id]++
		s.spoilt[id] = spoil
		s.mu.Unlock()
		if spoil {
			// One half has an interim answer and is of HTTP/1.0, the other is of a version before it.
			first := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0"
			if rand.IntN(2) == 0 {
				first = "HTTP/0.9"
			}
			s.mu.Lock()
			s.first[id] = first
			s.mu.Unlock()
			_, _ = fmt.Fprintf(c, first+" 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(text)-11, text[:len(text)-11])
			return // The rest of the answer doesn't come.
		}
		if _, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(text), text); err != nil {
			return
		}
	}
}

// oldAnswers: some backends spoil a few answers.
func oldAnswers(dir, file string) int {
	rec := newRecord(file)
	s := &spoiler{order: map[string]int{}, spoilt: map[string]bool{}, runs: map[string]int{}, first: map[string]string{}, from: time.Now().Add(time.Hour)}
	oddServe = s.serve
	_, _, nodes := deployment(dir, 3, 0)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	time.Sleep(2 * time.Second)
	var t tally
	var mu sync.Mutex
	var sent, wrong int
	firsts := map[string]int{}
	s.mu.Lock()
	s.from = time.Now().Add(calmTime)
	s.mu.Unlock()
	end := time.Now().Add(oldAnswersTime)
	var wg sync.WaitGroup
	for i := range spoiltClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				nd := nodes[i%len(nodes)]
				r := send(nd.front, "POST", "hulo84.example", "/xapu221/ny95/2f", "x", 1500*time.Millisecond)
				t.add(fmt.Sprint("status ", r.status))
				mu.Lock()
				sent++
				if want := "answer to " + r.id + ", first part; last part"; r.status == 200 && r.text != want {
					wrong++
					s.mu.Lock()
					firsts[s.first[r.id]]++
					if wrong <= 20 {
						rec.line("request %s at %s: 200 with the digest %q and the whole body %q; the backend's body is %q, of which it had sent a part after %q", r.id, nd.name, r.seal, r.text, want, s.first[r.id])
					}
					s.mu.Unlock()
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, is := range s.spoilt {
		if is {
			n++
		}
	}
	code := held
	if wrong > 0 {
		code = broken
	}
	rec.line("%s", t.counts())
	rec.line("%d requests sent, %d run, %d answers spoilt by their backends; %d clients got a success with another body than the backend's, complete by its framing, by the begin of the answer %v", sent, len(s.runs), n, wrong, firsts)
	rec.line("%s", verdict(code))
	rec.close()
	return code
}
