package scenarist

import (
	"syscall"
	"time"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
)

const onceTime = 14 * time.Second

// retries is how often a caller repeats a call without a definite answer.
const retries = 2

// mixture returns reads and calls that must not run twice, without an identity
// and with an issued one.
func (t *Trial) mixture(till time.Duration) []planner.Stream {
	b := t.deployment.Books
	issued := named(t.books(b, 0.25, 0, till), "issued", planner.InstanceIdentity, retries)
	issued.Deadline = 2 * time.Second
	return []planner.Stream{t.reads(0.2, 0, till), named(t.books(b, 0.1, 0, till), "bare", planner.NoIdentity, 0), issued}
}

// settled is the mixture with calls whose identities callers made. An instance
// runs these only after it was their place for 30 s (section 6 of the design),
// so the trial waits that long; the short form does not, and most are unknown.
func (t *Trial) settled(till time.Duration) []planner.Stream {
	if !t.Short {
		t.sleep(settleTime)
	}
	made := named(t.books(t.deployment.Books, 0.25, 0, till), "made", planner.CallerIdentity, retries)
	made.Deadline = 2 * time.Second
	return append(t.mixture(till), made)
}

const settleTime = 31 * time.Second

// once kills, pauses and replaces instances, cuts connections and delays
// answers while callers repeat calls at other instances.
func once(t *Trial) error {
	c := t.cluster()
	c.Fronted = true
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.span(onceTime)
	r := t.start(c, t.settled(end))
	all := c.Running()
	paused := all[1%len(all)]
	r.until(end / 8)
	t.replace(c, all[0])
	r.until(end * 2 / 8)
	t.cut(c)
	r.until(end * 3 / 8)
	_ = paused.Signal(syscall.SIGSTOP)
	t.late(c, 40)
	r.until(end * 5 / 8)
	_ = paused.Signal(syscall.SIGCONT)
	t.late(c, 1)
	t.cut(c)
	r.until(end * 6 / 8)
	t.replace(c, all[len(all)-1])
	r.until(end * 7 / 8)
	t.cut(c)
	calls := r.wait("calls under kills, a pause, cuts and late answers")
	t.correct(c, calls)
	t.shareOfUnknown(calls)
	return t.replaced()
}

// cut closes all connections to every other backend server.
func (t *Trial) cut(c *deployer.Cluster) {
	for i := 0; i < len(c.Breakers); i += 2 {
		c.Breakers[i].CloseConns()
	}
}

// late makes half of the backend servers of the bookings slow by factor, so
// that answers come after the deadlines.
func (t *Trial) late(c *deployer.Cluster, factor float64) {
	for i, w := range workers(c, t.deployment.Books) {
		if i%2 == 0 {
			w.SetSlowdown(factor)
		}
	}
}

// shareOfUnknown prints the share of calls that ended unknown, by stream.
func (t *Trial) shareOfUnknown(calls []recorder.Call) {
	for _, name := range []string{"bare", "made", "issued"} {
		var part []recorder.Call
		for i := range calls {
			if calls[i].Arrival.Stream.Name == name {
				part = append(part, calls[i])
			}
		}
		s := recorder.SummarizeCalls(part)
		t.printf("  %s: %.2f%% unknown, %.2f%% cut off, %.2f%% served\n", name, percent(s, recorder.Unknown), percent(s, recorder.NoResponse), percent(s, recorder.Served))
	}
}

func percent(s *recorder.Summary, o recorder.Outcome) float64 {
	return 100 * float64(s.OutcomeCounts[o]) / float64(max(s.Offered, 1))
}
