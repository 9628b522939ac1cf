package logger_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/operator/logger"
)

// blockableOutput is an output whose Write blocks while mu is locked.
type blockableOutput struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blockableOutput) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blockableOutput) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// waitUntil fails the test if ok does not return true within 10 s.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 10s", what)
		}
	}
}

// TestBlockedOutput guards against a process that blocks because its log is not
// read, and against dropped lines that are not reported.
func TestBlockedOutput(t *testing.T) {
	o := new(blockableOutput)
	o.mu.Lock()
	w := &logger.Writer{Output: o, QueueLines: 4, LinesPerSecond: 1e6}
	for i := range 100 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"info\",\"n\":%d}\n", i)
	}
	if got := w.DroppedLines(); got < 90 {
		t.Errorf("got %d dropped lines, want at least 90", got)
	}
	o.mu.Unlock()
	waitUntil(t, "a line about dropped lines", func() bool {
		_, _ = w.Write([]byte("{\"level\":\"info\"}\n"))
		return strings.Contains(o.String(), "operator: log lines were dropped")
	})
}

// TestRateLimit guards against lines above the rate limit, and against warnings that
// the limit drops.
func TestRateLimit(t *testing.T) {
	o := new(blockableOutput)
	w := &logger.Writer{Output: o, LinesPerSecond: 10}
	for range 1000 {
		_, _ = w.Write([]byte("{\"level\":\"info\"}\n"))
	}
	_, _ = w.Write([]byte("{\"level\":\"warn\",\"n\":1}\n"))
	waitUntil(t, "the warning", func() bool { return strings.Contains(o.String(), `"n":1`) })
	if got := strings.Count(o.String(), `"info"`); got > 30 {
		t.Errorf("got %d lines, want about 10", got)
	}
}

// TestFlush guards against the last lines of a process that are lost at its exit.
func TestFlush(t *testing.T) {
	o := new(blockableOutput)
	o.mu.Lock()
	w := &logger.Writer{Output: o}
	const line = `{"level":"info"}` + "\n"
	for range 9 {
		_, _ = w.Write([]byte(line))
	}
	if w.Flush(time.Millisecond) {
		t.Error("got all lines written to a blocked output")
	}
	o.mu.Unlock()
	if !w.Flush(10*time.Second) || strings.Count(o.String(), line) != 9 {
		t.Errorf("got %q, want 9 lines", o.String())
	}
}
