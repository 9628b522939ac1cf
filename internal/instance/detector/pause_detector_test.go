package detector_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/instance/detector"
)

// TestPauseDetection guards against a pause that is not detected, after which the
// process would decide by data from before the pause.
func TestPauseDetection(t *testing.T) {
	now := time.Unix(1000, 0)
	var got []time.Duration
	d := &detector.PauseDetector{
		Now:     func() time.Time { return now },
		OnPause: func(gap time.Duration) { got = append(got, gap) },
	}
	for _, step := range []time.Duration{0, 100 * time.Millisecond, time.Second, 30 * time.Second, time.Millisecond} {
		now = now.Add(step)
		d.CheckPause()
	}
	if want := 30 * time.Second; len(got) != 1 || got[0] != want {
		t.Errorf("got pauses %v, want one of %v", got, want)
	}
}
