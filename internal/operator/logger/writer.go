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

// Writer passes lines to Out from a goroutine of its own. Lines beyond Rate, but
// for warnings and errors, and lines beyond what Out takes are dropped and
// counted. The fields are set before the first Write.
type Writer struct {
	Out  io.Writer
	Rate float64 // Lines a second on average; 0 means 500.
	Size int     // Lines that wait for Out; 0 means 1024.

	once    sync.Once
	limit   *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
}

const (
	defaultRate = 500
	defaultSize = 1024
	// reportPeriod is the shortest time between two lines about dropped lines.
	reportPeriod = time.Second
)

var _ io.Writer = (*Writer)(nil)

func (w *Writer) setup() {
	if w.Rate == 0 {
		w.Rate = defaultRate
	}
	if w.Size == 0 {
		w.Size = defaultSize
	}
	w.limit = rate.NewLimiter(rate.Limit(w.Rate), int(w.Rate))
	w.lines = make(chan []byte, w.Size)
	go w.loop()
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Write queues a copy of line. It never blocks and returns no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.once.Do(w.setup)
	if !urgent(line) && !w.limit.Allow() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

func urgent(line []byte) bool {
	return bytes.Contains(line, []byte(`"level":"warn"`)) || bytes.Contains(line, []byte(`"level":"error"`))
}

// loop writes the queued lines, those that wait together in one write.
func (w *Writer) loop() {
	var reported time.Time
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := len(w.lines); more > 0; more-- {
			batch = append(batch, <-w.lines...)
		}
		if now := time.Now(); now.Sub(reported) >= reportPeriod && w.dropped.Load() > 0 {
			reported = now
			batch = append(batch, `{"time":"`...)
			batch = now.AppendFormat(batch, time.RFC3339Nano)
			batch = append(batch, `","level":"warn","lines":`...)
			batch = strconv.AppendInt(batch, w.dropped.Swap(0), 10)
			batch = append(batch, `,"message":"operator: log lines were dropped"}`+"\n"...)
		}
		if _, err := w.Out.Write(batch); err != nil {
			w.drop() // Without an output there is nowhere to say it but in the count.
		}
	}
}
