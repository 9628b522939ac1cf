package scenarist

import (
	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
)

// violations counts calls and attempts that break a guarantee to callers.
// ranByEarlierAttempt is no violation and is only printed.
type violations struct {
	ranTwice            int // Non-idempotent calls with more than one run.
	ranThoughNotRun     int // Attempts that were reported not run and did run.
	notRunAfterRun      int // Attempts that were reported not run although their call had run before they were sent.
	ranByEarlierAttempt int // Calls that were last reported not run but ran by another attempt, which had no definite answer.
	wrongResponses      int // Answers that belong to another call or are incomplete.
}

// checkCorrectness compares what callers were told with the runs that the backend
// servers recorded, and checks the counts that section 1.3 of the requirements
// wants to be 0.
func (t *Trial) checkCorrectness(c *deployer.Cluster, calls []recorder.Call) {
	var v violations
	var unknown, identified int
	for i := range calls {
		call := &calls[i]
		if call.Arrival.Stream.KeySource != planner.NoKey {
			identified++
		}
		if o := call.Outcome(); o == recorder.Unknown || o == recorder.NoResponse {
			unknown++
		}
		t.countViolations(c, call, &v)
	}
	t.printf("  %d calls, %d with an identity; %.2f%% ended unknown or without an answer\n", len(calls), identified, 100*float64(unknown)/float64(max(len(calls), 1)))
	t.printf("  %d calls were last reported not run and ran by an earlier attempt without a definite answer\n", v.ranByEarlierAttempt)
	t.checkAlways(v.ranTwice == 0, "%d non-idempotent calls ran twice", v.ranTwice)
	t.checkAlways(v.ranThoughNotRun == 0, "%d attempts that were reported not run did run", v.ranThoughNotRun)
	t.checkAlways(v.notRunAfterRun == 0, "%d attempts were reported not run although the call had run before", v.notRunAfterRun)
	t.checkAlways(v.wrongResponses == 0, "%d answers belong to another call or are not whole", v.wrongResponses)
}

// countViolations adds the violations of one call to v. Several runs of a call
// without an idempotency key count only if its caller sent it once.
func (t *Trial) countViolations(c *deployer.Cluster, call *recorder.Call, v *violations) {
	s := call.Arrival.Stream
	runs := c.RunCounter.CallRuns(call.Name)
	first, ran := c.RunCounter.FirstRun(call.Name)
	if !s.Idempotent && (s.KeySource != planner.NoKey || len(call.Attempts) == 1) && runs > 1 {
		v.ranTwice++
		t.printExample(v.ranTwice, "ran twice", call, runs)
	}
	for _, a := range call.Attempts {
		if a.Outcome != recorder.NotRun {
			continue
		}
		if c.RunCounter.AttemptRuns(a.Token) > 0 {
			v.ranThoughNotRun++
			t.printExample(v.ranThoughNotRun, "ran though reported not run", call, runs)
		}
		if ran && first.Before(a.Start) {
			v.notRunAfterRun++
			t.printExample(v.notRunAfterRun, "reported not run after it had run", call, runs)
		}
	}
	switch call.Outcome() {
	case recorder.NotRun:
		if ran {
			v.ranByEarlierAttempt++
		}
	case recorder.WrongResponse:
		v.wrongResponses++
	}
}

// printExample prints the call that broke a rule, for the first three of each rule.
func (t *Trial) printExample(n int, rule string, c *recorder.Call, runs int) {
	if n <= 3 {
		t.printf("  %s: %s %s, %d runs\n", rule, c.Arrival.Stream.Name, c.Name, runs)
		for _, a := range c.Attempts {
			t.printf("    %s %s outcome %d %s\n", a.Start.Format("15:04:05.000"), a.Instance, a.Outcome, a.Reason)
		}
	}
}

// checkAnswered checks that every call got an answer.
func (t *Trial) checkAnswered(calls []recorder.Call) {
	cut := recorder.SummarizeCalls(calls).OutcomeCounts[recorder.NoResponse]
	t.checkAlways(cut == 0, "%d of %d calls got no answer or were cut off", cut, len(calls))
}
