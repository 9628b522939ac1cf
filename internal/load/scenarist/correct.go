package scenarist

import (
	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
)

// faults counts what must not happen.
type faults struct {
	twice   int // Non-idempotent calls with several runs.
	lied    int // Attempts that were reported not run and ran.
	known   int // Attempts that were reported not run although their call had run before they were sent.
	later   int // Calls that were last reported not run and ran by an attempt that had no definite answer.
	foreign int
}

// correct judges the counts of requirements 1.3 with the runs that the backend servers saw.
func (t *Trial) correct(c *deployer.Cluster, calls []recorder.Call) {
	var f faults
	var unknown, identified int
	for i := range calls {
		call := &calls[i]
		if call.Arrival.Stream.Identity != planner.NoIdentity {
			identified++
		}
		if o := call.Outcome(); o == recorder.Unknown || o == recorder.NoResponse {
			unknown++
		}
		t.inspect(c, call, &f)
	}
	t.printf("  %d calls, %d with an identity; %.2f%% ended unknown or without an answer\n", len(calls), identified, 100*float64(unknown)/float64(max(len(calls), 1)))
	t.printf("  %d calls were last reported not run and ran by an earlier attempt without a definite answer\n", f.later)
	t.count(f.twice == 0, "%d non-idempotent calls ran twice", f.twice)
	t.count(f.lied == 0, "%d attempts that were reported not run did run", f.lied)
	t.count(f.known == 0, "%d attempts were reported not run although the call had run before", f.known)
	t.count(f.foreign == 0, "%d answers belong to another call or are not whole", f.foreign)
}

func (t *Trial) inspect(c *deployer.Cluster, call *recorder.Call, f *faults) {
	s := call.Arrival.Stream
	runs := c.Ledger.CallRuns(call.Name)
	first, ran := c.Ledger.FirstRun(call.Name)
	if !s.Idempotent && (s.Identity != planner.NoIdentity || len(call.Attempts) == 1) && runs > 1 {
		f.twice++
		t.example(f.twice, "ran twice", call, runs)
	}
	for _, a := range call.Attempts {
		if a.Outcome != recorder.NotRun {
			continue
		}
		if c.Ledger.AttemptRuns(a.Token) > 0 {
			f.lied++
			t.example(f.lied, "ran though reported not run", call, runs)
		}
		if ran && first.Before(a.Start) {
			f.known++
			t.example(f.known, "reported not run after it had run", call, runs)
		}
	}
	switch call.Outcome() {
	case recorder.NotRun:
		if ran {
			f.later++
		}
	case recorder.WrongResponse:
		f.foreign++
	}
}

// example prints the first calls that broke a rule.
func (t *Trial) example(n int, rule string, c *recorder.Call, runs int) {
	if n <= 3 {
		t.printf("  %s: %s %s, %d runs\n", rule, c.Arrival.Stream.Name, c.Name, runs)
		for _, a := range c.Attempts {
			t.printf("    %s %s outcome %d %s\n", a.Start.Format("15:04:05.000"), a.Instance, a.Outcome, a.Reason)
		}
	}
}

// answered judges that each call got an answer.
func (t *Trial) answered(calls []recorder.Call) {
	cut := recorder.SummarizeCalls(calls).OutcomeCounts[recorder.NoResponse]
	t.count(cut == 0, "%d of %d calls got no answer or were cut off", cut, len(calls))
}
