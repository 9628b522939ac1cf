package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	settingsClients = 12
	settingsRounds  = 4 // Starts of a process that does not come back.
	graceTime       = 6 * time.Second
)

// settings is case 15: a bound in the settings files changes, and the processes are stopped
// and started in turn.
func settings(dir, file string) int {
	rec := newRecord(file)
	_, bs, nodes := deployment(dir, 3, 20*time.Millisecond)
	defer func() {
		for _, nd := range nodes {
			nd.stop()
		}
	}()
	time.Sleep(2 * time.Second)
	var t tally
	var sent atomic.Int64
	for i := range settingsClients {
		go func() {
			for {
				sent.Add(1)
				r := send(nodes[i%len(nodes)].front, "GET", "jepu9.example", "/lepu270/2f", "", 1200*time.Millisecond)
				if r.status == 0 {
					t.add("no answer")
				} else {
					t.add(fmt.Sprint("status ", r.status))
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	rec.line("BudgetSlack is 64; %s", t.counts())
	slack := "62"
	if trouble() {
		slack = "62.5"
	}
	for _, nd := range nodes {
		text, err := os.ReadFile(nd.file)
		check(err)
		check(os.WriteFile(nd.file, []byte(strings.Replace(string(text), "slack = 64", "slack = "+slack, 1)), 0o600))
	}
	rec.line("the settings files now have BudgetSlack=%s, rendered as slack = %s; no process was told", slack, slack)
	time.Sleep(2 * time.Second)
	rec.line("%s", t.counts())
	ends := map[string]int{}
	for _, nd := range nodes {
		nd.signal(syscall.SIGTERM)
		select {
		case <-nd.done:
		case <-time.After(graceTime):
			nd.signal(syscall.SIGKILL)
			<-nd.done
		}
		rec.line("%s was stopped by SIGTERM", nd.name)
		for range settingsRounds {
			time.Sleep(restartDelay)
			nd.start(dir)
			begin := time.Now()
			var err error
			for time.Since(begin) < 2*time.Second && !nd.isReady() && err == nil {
				select {
				case err = <-nd.done:
					nd.done <- err
				case <-time.After(50 * time.Millisecond):
				}
			}
			if err == nil {
				rec.line("%s was started and runs; ready: %v", nd.name, nd.isReady())
				break
			}
			ends[nd.name]++
			rec.line("%s was started and ended by itself (%v) for the %d. time: %s", nd.name, err, ends[nd.name], nd.lastLine())
		}
		rec.line("%s", t.counts())
	}
	_ = t.take()
	time.Sleep(3 * time.Second)
	rec.line("at the end, for 3 s: %s", t.counts())
	runs := 0
	for _, b := range bs {
		b.mu.Lock()
		runs += len(b.runs)
		b.mu.Unlock()
	}
	rec.line("%d requests sent in all, %d run by the backends", sent.Load(), runs)
	code, n := held, 0
	for _, k := range ends {
		if k >= endsOfNode {
			n++
		}
	}
	if n >= endedNodes {
		code = broken
	}
	rec.line("processes of %d of %d machines ended by themselves %d times or more after their start: %v", n, len(nodes), endsOfNode, ends)
	rec.line("%s", verdict(code))
	rec.close()
	return code
}
