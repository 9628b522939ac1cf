package withholder_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/route/withholder"
)

var (
	saidAt       = time.Unix(1_000_000, 0)
	pausedServer = withholder.Lifetime{Name: "i-1", ProcessStart: 7}
	nextProcess  = withholder.Lifetime{Name: "i-1", ProcessStart: 8}
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
			w.RecordPause(saidAt.Add(s.at), pausedServer, s.length, withholder.FromRefusal)
		}
		for _, at := range []time.Duration{test.end - time.Millisecond, test.end - 200*time.Millisecond} {
			if !w.IsWithheld(saidAt.Add(at), pausedServer) || w.TryStart(saidAt.Add(at), pausedServer) {
				t.Errorf("%s: got a request at %v, want none before %v", test.name, at, test.end)
			}
		}
		if late := saidAt.Add(test.end + longestSpread); w.IsWithheld(late, pausedServer) || !w.TryStart(late, pausedServer) {
			t.Errorf("%s: got no request at %v, want one after %v", test.name, late.Sub(saidAt), test.end)
		}
		if w.IsWithheld(saidAt, nextProcess) {
			t.Errorf("%s: got a pause of the next lifetime, want none", test.name)
		}
	}
}

// TestFewRequestsAfterPause guards against all requests at once at a server whose pause
// ends, also when the first ones come long after it, and against a slow start that does
// not end.
func TestFewRequestsAfterPause(t *testing.T) {
	const length = time.Second
	for _, idle := range []time.Duration{0, 150 * time.Millisecond, time.Minute} {
		w := new(withholder.Withholder)
		w.RecordPause(saidAt, pausedServer, length, withholder.FromProbe)
		first := saidAt.Add(length + w.PauseOf(saidAt.Add(length), pausedServer) + idle)
		started := make([]int, 8)
		for tenth := range started {
			for ms := 0; ms < 100; ms += 5 {
				for range 10 {
					if w.TryStart(first.Add(time.Duration(100*tenth+ms)*time.Millisecond), pausedServer) {
						started[tenth]++
					}
				}
			}
		}
		for tenth, want := range []int{2, 2, 4, 8, 16, 200, 200, 200} {
			if got := started[tenth]; got != want {
				t.Errorf("%v after the pause: got %d requests in tenth %d of a second, want %d", idle, got, tenth, want)
			}
		}
	}
}

// TestPauseOfLeavingServer guards against requests after the pause of a server that
// has also said that it leaves.
func TestPauseOfLeavingServer(t *testing.T) {
	w := new(withholder.Withholder)
	w.RecordPause(saidAt, pausedServer, time.Second, withholder.FromRefusal)
	w.RecordLeaving(saidAt, pausedServer, withholder.FromRefusal)
	if late := saidAt.Add(time.Hour); !w.IsWithheld(late, pausedServer) || w.TryStart(late, pausedServer) {
		t.Error("got a request at a server that leaves, want none")
	}
}
