package withholder_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/route/withholder"
)

var (
	start   = time.Unix(1_000_000, 0)
	server  = withholder.Lifetime{Name: "i-1", ProcessStart: 7}
	restart = withholder.Lifetime{Name: "i-1", ProcessStart: 8}
)

const longestSpread = 500 * time.Millisecond

// TestPauseIsNeverShortened guards against requests before the end of the longest time
// that a server asked for, and against a server that gets none long after it.
func TestPauseIsNeverShortened(t *testing.T) {
	type statement struct{ at, length time.Duration }
	tests := []struct {
		name       string
		statements []statement
		end        time.Duration
	}{
		{"one", []statement{{0, 2 * time.Second}}, 2 * time.Second},
		{"fraction", []statement{{0, 250 * time.Millisecond}}, 250 * time.Millisecond},
		{"extended", []statement{{0, 2 * time.Second}, {time.Second, 3 * time.Second}}, 4 * time.Second},
		{"not shortened", []statement{{0, 5 * time.Second}, {time.Second, time.Second}}, 5 * time.Second},
		{"a day", []statement{{0, 24 * time.Hour}}, 24 * time.Hour},
		{"again after the end", []statement{{0, time.Second}, {2 * time.Second, time.Second}}, 3 * time.Second},
	}
	for _, test := range tests {
		w := new(withholder.Withholder)
		for _, s := range test.statements {
			w.RecordPause(start.Add(s.at), server, s.length, withholder.FromRefusal)
		}
		for _, at := range []time.Duration{test.end - time.Millisecond, test.end - 200*time.Millisecond} {
			if !w.IsWithheld(start.Add(at), server) || w.TryStart(start.Add(at), server) {
				t.Errorf("%s: got a request at %v, want none before %v", test.name, at, test.end)
			}
		}
		if late := start.Add(test.end + longestSpread); w.IsWithheld(late, server) || !w.TryStart(late, server) {
			t.Errorf("%s: got no request at %v, want one after %v", test.name, late.Sub(start), test.end)
		}
		if w.IsWithheld(start, restart) {
			t.Errorf("%s: got a pause of the next lifetime, want none", test.name)
		}
	}
}

// TestFewRequestsAfterPause guards against all waiting requests at once at a server
// whose pause ends, and against a slow start that does not end.
func TestFewRequestsAfterPause(t *testing.T) {
	const length = time.Second
	w := new(withholder.Withholder)
	w.RecordPause(start, server, length, withholder.FromProbe)
	end := start.Add(length + w.PauseOf(start.Add(length), server))
	started := make([]int, 8)
	for tenth := range started {
		for ms := 0; ms < 100; ms += 5 {
			for range 10 {
				if w.TryStart(end.Add(time.Duration(100*tenth+ms)*time.Millisecond), server) {
					started[tenth]++
				}
			}
		}
	}
	for tenth, want := range []int{2, 2, 4, 8, 16, 200, 200, 200} {
		if got := started[tenth]; got != want {
			t.Errorf("got %d requests in tenth %d of a second after the pause, want %d", got, tenth, want)
		}
	}
}

// TestPauseOfLeavingServer guards against requests after the pause of a server that
// has also said that it leaves.
func TestPauseOfLeavingServer(t *testing.T) {
	w := new(withholder.Withholder)
	w.RecordPause(start, server, time.Second, withholder.FromRefusal)
	w.RecordLeaving(start, server, withholder.FromRefusal)
	if late := start.Add(time.Hour); !w.IsWithheld(late, server) || w.TryStart(late, server) {
		t.Error("got a request at a server that leaves, want none")
	}
}
