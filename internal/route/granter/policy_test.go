package granter_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/picker"
)

const (
	entries = 16
	servers = 20
	slots   = 2
	work    = 10 * time.Millisecond
	span    = 10 * time.Second
	// capacity is the number of calls a second that all slots can serve.
	capacity = float64(servers*slots) * float64(time.Second/work)
)

func deadline(d time.Duration) time.Time { return time.Time{}.Add(d) }

// local hands calls to servers chosen by entries that know only their own
// calls; servers queue what exceeds their slots.
func local(s *simulation, policies []picker.Policy[int]) {
	type server struct {
		busy  int
		queue []func()
	}
	all := make([]server, servers)
	counts := make([][]picker.Candidate[int], entries)
	for e := range counts {
		counts[e] = make([]picker.Candidate[int], servers)
	}
	next := 0
	s.assign = func(j *job) {
		next++
		mine := counts[next%entries]
		i := policies[next%len(policies)].Pick(mine)
		mine[i].Busy++
		b := &all[i]
		begin := func() {
			b.busy++
			s.start(j, i, func() {
				b.busy--
				mine[i].Busy--
				if len(b.queue) > 0 {
					first := b.queue[0]
					b.queue = b.queue[1:]
					first()
				}
			})
		}
		if b.busy < slots {
			begin()
		} else {
			b.queue = append(b.queue, begin)
		}
	}
}

// central hands calls to the server that is free first, from one queue.
func central(s *simulation) {
	busy := make([]int, servers)
	var waiting []*job
	var serve func()
	serve = func() {
		for len(waiting) > 0 {
			var free []picker.Candidate[int]
			for i := range busy {
				if busy[i] < slots {
					free = append(free, picker.Candidate[int]{Value: i})
				}
			}
			if len(free) == 0 {
				return
			}
			i := free[picker.Random[int]{Rand: s.rand}.Pick(free)].Value
			j := waiting[0]
			waiting = waiting[1:]
			busy[i]++
			s.start(j, i, func() { busy[i]--; serve() })
		}
	}
	s.assign = func(j *job) { waiting = append(waiting, j); serve() }
}

// TestPolicies guards against a choice of servers that loses to the baselines,
// which know only the calls of one entry, or falls far behind one central queue.
func TestPolicies(t *testing.T) {
	policies := func(pick func(*rand.Rand) picker.Policy[int]) func(*simulation) {
		return func(s *simulation) {
			all := make([]picker.Policy[int], entries)
			for i := range all {
				all[i] = pick(s.rand)
			}
			local(s, all)
		}
	}
	var table strings.Builder
	p99 := make(map[string]time.Duration)
	for _, tc := range []struct {
		name string
		make func(*simulation)
	}{
		{"random", policies(func(r *rand.Rand) picker.Policy[int] { return picker.Random[int]{Rand: r} })},
		{"round robin", policies(func(*rand.Rand) picker.Policy[int] { return new(picker.Robin[int]) })},
		{"least outstanding", policies(func(r *rand.Rand) picker.Policy[int] { return picker.Least[int]{Rand: r} })},
		{"central queue", central},
		{"dispatch", func(s *simulation) { newHome(s, parser.Service{Slots: slots}) }},
	} {
		s := newSimulation(servers, 7)
		s.slow(span)
		s.arrive(job{work: work, deadline: deadline(10 * time.Second)}, 0.8*capacity, 0, span)
		tc.make(s)
		s.run(span + 10*time.Second)
		wait := percentile(s.jobs, parser.Urgent, 99, (*job).wait)
		p99[tc.name] = wait
		total := percentile(s.jobs, parser.Urgent, 99, func(j *job) time.Duration { return j.ended.Sub(j.at) })
		fmt.Fprintf(&table, "%-18s p99 wait %8.2f ms, p99 total %8.2f ms, served %d of %d\n", tc.name,
			wait.Seconds()*1e3, total.Seconds()*1e3, served(s.jobs, parser.Urgent), len(s.jobs))
	}
	t.Logf("20 servers with 2 slots, 80%% load, servers slowed 5 times at random:\n%s", table.String())
	best := min(p99["random"], p99["round robin"], p99["least outstanding"])
	if got := p99["dispatch"]; 2*got > best {
		t.Errorf("p99 of wait: got %v, want under half of the best baseline, %v", got, best)
	}
	if got := p99["dispatch"]; 2*got > 3*p99["central queue"] {
		t.Errorf("p99 of wait: got %v, want within 1.5 times one central queue, %v", got, p99["central queue"])
	}
}
