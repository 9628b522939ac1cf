package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// bodies: crowds of one kind press on one instance.
func bodies(dir string) int {
	_, _, nodes := deployment(dir, 3, 100*time.Millisecond)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	time.Sleep(time.Second)
	kind := os.Getenv("KIND")
	var t tally
	var on atomic.Bool
	for i := range 10 {
		go func() {
			for {
				r := send(nodes[0].front, "POST", "hulo84.example", "/xapu221/ny95/2f", "0123456789", 1500*time.Millisecond)
				t.add(fmt.Sprint("unsafe ", r.status))
				r = send(nodes[0].front, "GET", "jepu9.example", "/lepu270/2f", "", 1200*time.Millisecond)
				t.add(fmt.Sprint("safe ", r.status))
				time.Sleep(200 * time.Millisecond)
				_ = i
			}
		}()
	}
	head := func(extra string) string {
		return "POST /xapu221/ny95/2f HTTP/1.1\r\nHost: hulo84.example\r\nSardinelever-Request-Id: " + newID() + "\r\nSardinelever-Deadline-Ms: 1500\r\n" + extra
	}
	var text []byte
	var fields strings.Builder
	text = bytes.Repeat([]byte("x"), 60<<10-1) // One byte short.
	if kind == "large" {
		text = bytes.Repeat([]byte("x"), 4<<20)
	}
	chunk := append([]byte("f000\r\n"), bytes.Repeat([]byte("x"), 0xf000-1)...)
	for i := range 480 {
		fmt.Fprintf(&fields, "x%d:\r\n", i)
	}
	for range env("CROWD", 1900) {
		go func() {
			for {
				if !on.Load() {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				c, err := net.DialTimeout("tcp", nodes[0].front, time.Second)
				if err != nil {
					t.add("no connection")
					time.Sleep(100 * time.Millisecond)
					continue
				}
				_ = c.SetDeadline(time.Now().Add(4 * time.Second))
				kind := kind
				if kind == "mixed" {
					kind = []string{"piece", "chunk", "fields", "fieldsget", "long", "pipeline"}[rand.IntN(6)]
				}
				switch kind {
				case "piece", "large":
					_, _ = io.WriteString(c, head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text)+1)))
					_, _ = c.Write(text)
				case "chunk":
					_, _ = io.WriteString(c, head("Transfer-Encoding: chunked\r\n\r\n"))
					_, _ = c.Write(chunk)
				case "fields":
					_, _ = io.WriteString(c, head(fields.String()+"Content-Length: 10\r\n\r\n123"))
				case "fieldsget":
					_, _ = io.WriteString(c, "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nSardinelever-Request-Id: "+newID()+"\r\nSardinelever-Deadline-Ms: 1500\r\n"+fields.String()+"\r\n")
				case "long":
					_, _ = io.WriteString(c, "GET /lepu270/"+strings.Repeat("%41", 4<<10)+" HTTP/1.1\r\nHost: jepu9.example\r\nSardinelever-Request-Id: "+newID()+"\r\nSardinelever-Deadline-Ms: 1500\r\n\r\n")
				case "pipeline":
					var b strings.Builder
					for range 50 {
						b.WriteString("GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nSardinelever-Request-Id: " + newID() + "\r\nSardinelever-Deadline-Ms: 1500\r\n\r\n")
					}
					_, _ = io.WriteString(c, b.String())
				}
				var b [1]byte
				n, err := io.ReadFull(c, b[:])
				t.add(fmt.Sprint("crowd ", n, " ", err != nil))
				_ = c.Close()
			}
		}()
	}
	for i := range 16 {
		on.Store(i >= 2 && i < 13)
		time.Sleep(time.Second)
		rss, peak := nodes[0].peakMB()
		fmt.Println(i, on.Load(), t.take(), "rss", rss, peak)
	}
	return held
}
