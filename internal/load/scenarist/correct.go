package scenarist

import (
	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
)

// correct judges the counts of requirements 1.3 with the runs that the backend servers saw.
func (t *Trial) correct(c *deployer.Cluster, calls []recorder.Call) {
	var twice, lied, ended, foreign, unknown, identified, offered int
	for i := range calls {
		call := &calls[i]
		s := call.Arrival.Stream
		offered++
		runs := c.Ledger.Calls(call.Name)
		if s.Identity != planner.None {
			identified++
		}
		if !s.Idempotent && (s.Identity != planner.None || len(call.Attempts) == 1) && runs > 1 {
			twice++
			t.example(twice, "ran twice", call, runs)
		}
		for _, a := range call.Attempts {
			if a.Outcome == recorder.NotRun && c.Ledger.Attempts(a.Token) > 0 {
				lied++
				t.example(lied, "attempt was reported not run", call, runs)
			}
		}
		switch call.Outcome() {
		case recorder.NotRun:
			if runs > 0 {
				ended++
				t.example(ended, "call was last reported not run", call, runs)
			}
		case recorder.Foreign:
			foreign++
		case recorder.Unknown, recorder.Cut:
			unknown++
		}
	}
	t.printf("  %d calls, %d with an identity; %.2f%% ended unknown or without an answer\n", offered, identified, 100*float64(unknown)/float64(max(offered, 1)))
	t.count(twice == 0, "%d non-idempotent calls ran twice", twice)
	t.count(lied == 0, "%d attempts that were reported not run did run", lied)
	t.count(ended == 0, "%d calls that were last reported not run did run", ended)
	t.count(foreign == 0, "%d answers belong to another call or are not whole", foreign)
}

// example prints the first calls that broke a rule.
func (t *Trial) example(n int, rule string, c *recorder.Call, runs int) {
	if n <= 3 {
		t.printf("  %s: %s, %d runs, attempts %v\n", rule, c.Arrival.Stream.Name, runs, c.Attempts)
	}
}

// answered judges that each call got an answer.
func (t *Trial) answered(calls []recorder.Call) {
	cut := recorder.Summarize(calls).Count[recorder.Cut]
	t.count(cut == 0, "%d of %d calls got no answer or were cut off", cut, len(calls))
}
