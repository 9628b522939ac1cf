package granter_test

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/granter"
	"sardinelever.example/sardinelever/internal/route/mapper"
	"sardinelever.example/sardinelever/internal/route/picker"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// event happens at a virtual time.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}

// job is one call of a simulation.
type job struct {
	rank     parser.Rank
	at       time.Time
	deadline time.Time
	patience time.Duration // Time after which the caller gives up without a word; 0 means never.
	work     time.Duration // Service time at a server of normal speed.
	steady   bool          // The service time varies by 20% and not exponentially.
	started  time.Time
	ended    time.Time
	failed   bool
	reason   string
}

func (j *job) wait() time.Duration { return j.started.Sub(j.at) }

// simulation runs calls against backend servers in virtual time.
type simulation struct {
	now    time.Time
	queue  events
	order  int
	rand   *rand.Rand
	speed  []float64 // Factor on the service time of each server.
	broken int       // Number of servers, from the first, that fail all calls after 1% of the time.
	jobs   []*job
	addrs  []netip.AddrPort
	assign func(j *job) // Hands an arriving call to the policy.
}

func newSimulation(servers int, seed uint64) *simulation {
	s := &simulation{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, seed))}
	for i := range servers {
		s.speed = append(s.speed, 1)
		s.addrs = append(s.addrs, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 80))
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{s.now.Add(d), s.order, do})
}

// run handles all events until the time has advanced by d.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.rand.ExpFloat64() * float64(mean))
}

// arrive makes calls like model at rate a second for the duration d, from delay on.
func (s *simulation) arrive(model job, rate float64, delay, d time.Duration) {
	gap := time.Duration(float64(time.Second) / rate)
	for at := delay + s.exponential(gap); at < delay+d; at += s.exponential(gap) {
		work := time.Duration(float64(model.work) * (0.8 + 0.4*s.rand.Float64()))
		if !model.steady {
			work = s.exponential(model.work)
		}
		s.after(at, func() {
			j := model
			j.at, j.deadline, j.work = s.now, s.now.Add(model.deadline.Sub(time.Time{})), work
			s.jobs = append(s.jobs, &j)
			s.assign(&j)
		})
	}
}

// slow makes each server 5 times slower for 500 ms, at random about every 10 s.
func (s *simulation) slow(d time.Duration) {
	for i := range s.speed {
		for at := s.exponential(10 * time.Second); at < d; at += 500*time.Millisecond + s.exponential(10*time.Second) {
			s.after(at, func() { s.speed[i] = 5 })
			s.after(at+500*time.Millisecond, func() { s.speed[i] = 1 })
		}
	}
}

// start runs j at server i and calls done at its end.
func (s *simulation) start(j *job, i int, done func()) {
	j.started = s.now
	factor := s.speed[i]
	if j.failed = i < s.broken; j.failed {
		factor = 0.01
	}
	s.after(time.Duration(float64(j.work)*factor), func() {
		j.ended = s.now
		done()
	})
}

// home hands calls to a Pool.
type home struct {
	*simulation
	pool  *granter.Pool
	asked map[uint64]*job
	last  uint64
}

func newHome(s *simulation, service parser.Service) *home {
	service.Name = "guidance"
	m := &mapper.Service{Service: &service}
	for i, a := range s.addrs {
		m.Servers = append(m.Servers, mapper.BackendServer{Name: strconv.Itoa(i), Address: a, Zone: "a"})
	}
	h := &home{simulation: s, asked: make(map[uint64]*job)}
	h.pool = &granter.Pool{
		Key:    granter.Key{Service: "guidance", Zone: "a"},
		Policy: picker.Best[*tracker.Server]{Rand: s.rand},
		Jitter: func() float64 { return 1 },
	}
	h.pool.Sync(s.now, &mapper.Map{Services: map[string]*mapper.Service{"guidance": m}})
	s.assign = h.ask
	s.after(0, h.tick)
	return h
}

func (h *home) tick() {
	h.pool.Tick(h.now)
	h.after(5*time.Millisecond, h.tick)
}

func (h *home) ask(j *job) {
	h.last++
	h.asked[h.last] = j
	h.pool.Ask(h.now, granter.Ask{ID: granter.ID{Owner: h, Number: h.last}, Rank: j.rank, Deadline: j.deadline})
}

// Receive starts a granted call.
func (h *home) Receive(r granter.Reply) {
	j := h.asked[r.Number]
	switch r.Kind {
	case granter.Refused:
		j.reason = r.Reason
		delete(h.asked, r.Number)
	case granter.Offered:
		h.start(j, slices.Index(h.addrs, r.Server), func() {
			delete(h.asked, r.Number)
			id := granter.ID{Owner: h, Number: r.Number}
			h.pool.Done(h.now, id, tracker.Result{Latency: j.ended.Sub(j.started), Busy: -1, Failed: j.failed})
		})
	}
}

// percentile returns the p-th percentile of what value yields for the jobs of a rank that started.
func percentile(jobs []*job, r parser.Rank, p float64, value func(*job) time.Duration) time.Duration {
	var all []time.Duration
	for _, j := range jobs {
		if j.rank == r && !j.ended.IsZero() {
			all = append(all, value(j))
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(float64(len(all))*p/100), len(all)-1)]
}

// served counts the calls of rank r that ended before their callers gave up.
func served(jobs []*job, r parser.Rank) int {
	n := 0
	for _, j := range jobs {
		if j.rank == r && !j.ended.IsZero() && (j.patience == 0 || j.ended.Sub(j.at) <= j.patience) {
			n++
		}
	}
	return n
}
