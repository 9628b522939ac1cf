package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = playTrailers }

const (
	// pieces is the number of chunked bodies that are sent at the same time, and
	// pieceTime the longest time for which each lasts.
	pieces    = 96
	pieceTime = 70 * time.Second
	// trailerFields is the number of trailer fields of a body; they have about 3 KB.
	trailerFields = 300
)

// playTrailers sends chunked bodies in small pieces with pauses between them, with trailer
// fields that the header announces, beside ordinary callers.
func playTrailers(l *lab, trouble bool) (bool, error) {
	all, err := l.startSmallDeployment()
	if err != nil {
		return false, err
	}
	ordinary := &load{lab: l, targets: l.instances, perSecond: 100, method: "POST", host: "shop.example", path: "/orders/2", body: "order", timeout: 1500 * time.Millisecond, idPrefix: "o"}
	ordinary.start()
	time.Sleep(2 * time.Second)
	p := l.watch(0)
	var sent, answered atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(pieceTime)
	for c := range pieces {
		wg.Add(1)
		go func() {
			defer wg.Done()
			i := l.instances[c%len(l.instances)]
			for time.Now().Before(end) && !p.isFault() {
				n := sent.Add(1)
				switch sendInPieces(i.front, fmt.Sprintf("p%06d", n), trouble) {
				case http.StatusOK:
					answered.Add(1)
				case 0:
					time.Sleep(50 * time.Millisecond) // The process may be away.
				}
			}
		}()
	}
	wg.Wait()
	p.stop()
	l.note("chunked bodies in small pieces: %d sent, %d answered with 200", sent.Load(), answered.Load())
	rs := ordinary.stop()
	l.note("ordinary callers: answers by status (0: none) %v", statuses(rs))
	l.checkRuns(all, rs)
	if answered.Load() == 0 {
		return false, fmt.Errorf("no body was answered")
	}
	return p.isFault(), nil
}

// sendInPieces sends one request with a chunked body and returns the status of its answer,
// 0 for none.
func sendInPieces(addr, id string, trouble bool) int {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	trailer, last := "", "0\r\n\r\n"
	if trouble {
		var names, fields strings.Builder
		for n := range trailerFields {
			fmt.Fprintf(&names, ",t%d", n)
			fmt.Fprintf(&fields, "t%d: 1\r\n", n)
		}
		trailer, last = "Trailer: "+names.String()[1:]+"\r\n", "0\r\n"+fields.String()+"\r\n"
	}
	fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nSardinelever-Request-Id: %s\r\nSardinelever-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n%s\r\n", id, trailer)
	for _, piece := range []string{"2\r\nor\r\n", "2\r\nde\r\n", "1\r\nr\r\n", last} {
		if _, err := conn.Write([]byte(piece)); err != nil {
			return 0
		}
		if piece != last {
			time.Sleep(rand.N(80 * time.Millisecond))
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}
