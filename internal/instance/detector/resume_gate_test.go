package detector_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/instance/detector"
)

// TestResumeGate guards against requests that are written after a long pause by records from
// before it, and against requests that are held back in calm, after a short pause, or for
// long while nothing confirms the records.
func TestResumeGate(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name             string
		pause, confirmed time.Duration // Confirmed is the time of the last confirmation after the pause.
		after            time.Duration // Time since the end of the pause.
		want             bool
	}{
		{"no pause", 0, -time.Hour, 0, true},
		{"short pause", 2 * time.Second, -2 * time.Second, 0, true},
		{"long pause", 5 * time.Second, -5 * time.Second, time.Millisecond, false},
		{"long pause, confirmed at its end", 5 * time.Second, 0, time.Millisecond, false},
		{"long pause, confirmed after it", 5 * time.Second, time.Millisecond, 2 * time.Millisecond, true},
		{"long pause, not confirmed yet", 5 * time.Second, -5 * time.Second, 900 * time.Millisecond, false},
		{"long pause, cut off", 5 * time.Second, -5 * time.Second, time.Second, true},
	} {
		g := &detector.ResumeGate{ConfirmedAt: func() time.Time { return start.Add(c.confirmed) }}
		g.RecordPause(start, c.pause)
		if got := g.IsOpen(start.Add(c.after)); got != c.want {
			t.Errorf("%s: got open %v after %v, want %v", c.name, got, c.after, c.want)
		}
	}
}
