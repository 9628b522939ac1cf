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

// output is an output that can be held up.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not in time", what)
		}
	}
}

// TestBlocked guards against a process that stops because nobody reads its log,
// and against lines that are lost without a word.
func TestBlocked(t *testing.T) {
	o := new(output)
	o.mu.Lock()
	w := &logger.Writer{Out: o, Size: 4, Rate: 1e6}
	for i := range 100 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"info\",\"n\":%d}\n", i)
	}
	if got := w.Dropped(); got < 90 {
		t.Errorf("got %d dropped lines, want at least 90", got)
	}
	o.mu.Unlock()
	eventually(t, "a line about dropped lines", func() bool {
		_, _ = w.Write([]byte("{\"level\":\"info\"}\n"))
		return strings.Contains(o.String(), "operator: log lines were dropped")
	})
}

// TestRate guards against a flood of lines, and against warnings lost in it.
func TestRate(t *testing.T) {
	o := new(output)
	w := &logger.Writer{Out: o, Rate: 10}
	for range 1000 {
		_, _ = w.Write([]byte("{\"level\":\"info\"}\n"))
	}
	_, _ = w.Write([]byte("{\"level\":\"warn\",\"n\":1}\n"))
	eventually(t, "the warning", func() bool { return strings.Contains(o.String(), `"n":1`) })
	if got := strings.Count(o.String(), `"info"`); got > 30 {
		t.Errorf("got %d lines, want about 10", got)
	}
}
