package logger_test

import (
	"encoding/json"
	stdlog "log"
	"strings"
	"testing"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/operator/logger"
)

// TestStandardWriter guards against messages of net/http that are no lines of the log,
// fill it, or are lost without a count.
func TestStandardWriter(t *testing.T) {
	const messages = 1000
	o := new(blockableOutput)
	w := &logger.StandardWriter{Log: &log.Logger{Writer: &log.IOWriter{Writer: o}}}
	standard := stdlog.New(w, "", 0)
	for range messages {
		standard.Printf("Unsolicited response %s\nsecond line", strings.Repeat("\x01\"", 2000))
	}
	logged, _ := parseStandardLines(t, o)
	if logged < 20 || logged > messages/10 {
		t.Errorf("got %d lines for %d messages, want about 20", logged, messages)
	}
	sent := messages
	waitUntil(t, "a line with the number of dropped messages", func() bool {
		standard.Print("short")
		sent++
		_, dropped := parseStandardLines(t, o)
		return dropped > 0
	})
	if logged, dropped := parseStandardLines(t, o); logged+dropped != sent {
		t.Errorf("got %d lines and %d dropped messages, want %d together", logged, dropped, sent)
	}
}

// parseStandardLines returns the number of lines in o and of messages that they count as
// dropped.
func parseStandardLines(t *testing.T, o *blockableOutput) (logged, dropped int) {
	t.Helper()
	for line := range strings.Lines(o.String()) {
		var fields struct {
			Level, Text, Message string
			Dropped              int
		}
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("got line %.100q: %v", line, err)
		}
		if fields.Level != "warn" || fields.Message != "call: net/http reports a connection" || fields.Text == "" || len(fields.Text) > 2048 {
			t.Errorf("got line %.100q with a text of %d bytes, want a warning with at most 2048", line, len(fields.Text))
		}
		logged++
		dropped += fields.Dropped
	}
	return logged, dropped
}
