package scenarist

import (
	"syscall"
	"time"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
	"sardinelever.example/sardinelever/internal/standin/launcher"
)

const onceTime = 32 * time.Second

// retries is how often a caller repeats a call without a definite answer.
const retries = 3

// mixture returns reads, and calls that must not run twice with each kind of identity.
func (t *Trial) mixture(till time.Duration) []planner.Stream {
	b := t.deployment.Books
	bare := named(t.books(b, 0.1, 0, till), "bare", planner.None, 0)
	made := named(t.books(b, 0.25, 0, till), "made", planner.Made, retries)
	issued := named(t.books(b, 0.25, 0, till), "issued", planner.Issued, retries)
	made.Deadline, issued.Deadline = 2*time.Second, 2*time.Second
	return []planner.Stream{t.reads(0.2, 0, till), bare, made, issued}
}

// once kills, pauses and replaces instances, cuts connections and delays
// answers while callers repeat calls at other instances.
func once(t *Trial) error {
	c := t.cluster()
	c.Fronted = true
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.span(onceTime)
	r := t.start(c, t.mixture(end))
	all := c.Running()
	killed, paused, second := all[0], all[1%len(all)], all[len(all)-1]
	r.until(end / 8)
	c.Kill(killed)
	r.until(end * 2 / 8)
	t.cut(c)
	if err := t.replace(c, killed); err != nil {
		return err
	}
	r.until(end * 3 / 8)
	_ = paused.Signal(syscall.SIGSTOP)
	r.until(end * 4 / 8)
	t.late(c, 40)
	r.until(end * 5 / 8)
	_ = paused.Signal(syscall.SIGCONT)
	t.late(c, 1)
	t.cut(c)
	r.until(end * 6 / 8)
	c.Kill(second)
	if err := t.replace(c, second); err != nil {
		return err
	}
	r.until(end * 7 / 8)
	t.cut(c)
	calls := r.wait("calls under kills, a pause, cuts and late answers")
	t.correct(c, calls)
	t.shareOfUnknown(calls)
	return nil
}

// replace puts a new instance in the place of the ended one.
func (t *Trial) replace(c *deployer.Cluster, i *launcher.Instance) error {
	_, err := c.Replace(t.ctx, i)
	return err
}

// cut closes all connections to every other backend server.
func (t *Trial) cut(c *deployer.Cluster) {
	for i := 0; i < len(c.Breakers); i += 2 {
		c.Breakers[i].Cut()
	}
}

// late makes half of the backend servers of the bookings slow by factor, so
// that answers come after the deadlines.
func (t *Trial) late(c *deployer.Cluster, factor float64) {
	for i, w := range workers(c, t.deployment.Books) {
		if i%2 == 0 {
			w.Slow(factor)
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
		s := recorder.Summarize(part)
		t.printf("  %s: %.2f%% unknown, %.2f%% cut off, %.2f%% served\n", name, percent(s, recorder.Unknown), percent(s, recorder.Cut), percent(s, recorder.Served))
	}
}

func percent(s *recorder.Summary, o recorder.Outcome) float64 {
	return 100 * float64(s.Count[o]) / float64(max(s.Offered, 1))
}
