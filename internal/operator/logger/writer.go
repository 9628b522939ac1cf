package logger

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Writer queues lines and writes them to Output in a separate goroutine. It drops
// and counts lines above LinesPerSecond, except warnings and errors, and all lines
// that come while the queue is full. The fields are set before the first Write.
type Writer struct {
	Output         io.Writer
	LinesPerSecond float64 // Limit of the average rate; 0 means 500.
	QueueLines     int     // Capacity of the queue; 0 means 1024.

	once         sync.Once
	limiter      *rate.Limiter
	queue        chan []byte
	pending      atomic.Int64 // Lines that are queued or being written.
	unreported   atomic.Int64 // Lines dropped since the last log line about dropped lines.
	droppedTotal atomic.Int64
}

const (
	defaultLinesPerSecond = 500
	defaultQueueLines     = 1024
	// minReportInterval is the shortest time between two log lines that report
	// dropped lines.
	minReportInterval = time.Second
)

var _ io.Writer = (*Writer)(nil)

func (w *Writer) start() {
	if w.LinesPerSecond == 0 {
		w.LinesPerSecond = defaultLinesPerSecond
	}
	if w.QueueLines == 0 {
		w.QueueLines = defaultQueueLines
	}
	w.limiter = rate.NewLimiter(rate.Limit(w.LinesPerSecond), int(w.LinesPerSecond))
	w.queue = make(chan []byte, w.QueueLines)
	go w.writeQueued()
}

// DroppedLines returns the number of lines that have been dropped.
func (w *Writer) DroppedLines() int64 { return w.droppedTotal.Load() }

// Write queues a copy of line. It never blocks and returns no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.once.Do(w.start)
	if !isWarningOrError(line) && !w.limiter.Allow() {
		w.countDropped()
		return len(line), nil
	}
	w.pending.Add(1)
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.pending.Add(-1)
		w.countDropped()
	}
	return len(line), nil
}

// flushCheckPeriod is the time between two checks of Flush.
const flushCheckPeriod = time.Millisecond

// Flush waits until all lines are written or timeout has passed, and reports whether all
// are written.
func (w *Writer) Flush(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); w.pending.Load() > 0; time.Sleep(flushCheckPeriod) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

func (w *Writer) countDropped() {
	w.unreported.Add(1)
	w.droppedTotal.Add(1)
}

// isWarningOrError reports whether line is a warning or an error.
func isWarningOrError(line []byte) bool {
	return bytes.Contains(line, []byte(`"level":"warn"`)) || bytes.Contains(line, []byte(`"level":"error"`))
}

// writeQueued writes the lines of the queue to Output. It combines all lines that
// are in the queue into one write.
func (w *Writer) writeQueued() {
	var reported time.Time
	var batch []byte
	for line := range w.queue {
		batch = append(batch[:0], line...)
		more := len(w.queue)
		for range more {
			batch = append(batch, <-w.queue...)
		}
		if now := time.Now(); now.Sub(reported) >= minReportInterval && w.unreported.Load() > 0 {
			reported = now
			batch = append(batch, `{"time":"`...)
			batch = now.AppendFormat(batch, time.RFC3339Nano)
			batch = append(batch, `","level":"warn","lines":`...)
			batch = strconv.AppendInt(batch, w.unreported.Swap(0), 10)
			batch = append(batch, `,"message":"operator: log lines were dropped"}`+"\n"...)
		}
		if _, err := w.Output.Write(batch); err != nil {
			w.countDropped() // A failed write can only be counted, because the output of the log has failed.
		}
		w.pending.Add(-int64(1 + more))
	}
}
