package main

import (
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// record is what a case writes to its file: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time

	closed bool
}

func newRecord(name string) *record {
	f, err := os.Create(name)
	check(err)
	return &record{file: f, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	text := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(text)
	_, _ = os.Stdout.WriteString(text)
}

// close ends the record; what follows is the end of the test.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.file.Close()
}

// counts returns the counts of t since the last call as sorted text.
func (t *tally) counts() string {
	n := t.take()
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(n)) {
		fmt.Fprintf(&b, "%s: %d; ", k, n[k])
	}
	return strings.TrimSuffix(b.String(), "; ")
}

// trouble reports whether the case runs with its disturbance.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// stopOnSignal ends the processes that were started when this one is told to end.
func stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		endAll()
		os.Exit(failed)
	}()
}
