package allocator_test

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/picker"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// event is a function to be run at a virtual time.
type event struct {
	at    time.Time
	order int // Order of scheduling, for events at the same time.
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

// simulatedCall is one call of a simulation.
type simulatedCall struct {
	rank      parser.Rank
	arrivedAt time.Time
	deadline  time.Time
	patience  time.Duration // Time after which the caller gives up without cancelling; 0 means never.
	work      time.Duration // Service time on a server at normal speed.
	steady    bool          // The service time varies uniformly by 20% instead of exponentially.
	started   time.Time
	ended     time.Time
	failed    bool
	reason    string
}

func (c *simulatedCall) wait() time.Duration { return c.started.Sub(c.arrivedAt) }

// simulation runs calls on backend servers in virtual time.
type simulation struct {
	now        time.Time
	queue      events
	nextOrder  int
	rng        *rand.Rand
	workFactor []float64 // Factor on the service time of each server; 5 means 5 times slower.
	broken     int       // Number of servers, from the first, that fail all calls after 1% of their service time.
	calls      []*simulatedCall
	addrs      []netip.AddrPort
	assign     func(c *simulatedCall) // Passes an arriving call to the tested policy.
}

func newSimulation(servers int, seed uint64) *simulation {
	s := &simulation{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, seed))}
	for i := range servers {
		s.workFactor = append(s.workFactor, 1)
		s.addrs = append(s.addrs, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 80))
	}
	return s
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.nextOrder++
	heap.Push(&s.queue, event{s.now.Add(d), s.nextOrder, do})
}

// run moves the virtual time forward by d and runs the events that fall due.
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
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

// scheduleArrivals schedules calls like model at a mean rate per second for the
// duration d, starting after delay.
func (s *simulation) scheduleArrivals(model simulatedCall, rate float64, delay, d time.Duration) {
	gap := time.Duration(float64(time.Second) / rate)
	for at := delay + s.exponential(gap); at < delay+d; at += s.exponential(gap) {
		work := time.Duration(float64(model.work) * (0.8 + 0.4*s.rng.Float64()))
		if !model.steady {
			work = s.exponential(model.work)
		}
		s.schedule(at, func() {
			c := model
			c.arrivedAt, c.deadline, c.work = s.now, s.now.Add(model.deadline.Sub(time.Time{})), work
			s.calls = append(s.calls, &c)
			s.assign(&c)
		})
	}
}

// scheduleSlowdowns makes each server 5 times slower for 500 ms, at random
// times about 10 s apart.
func (s *simulation) scheduleSlowdowns(d time.Duration) {
	for i := range s.workFactor {
		for at := s.exponential(10 * time.Second); at < d; at += 500*time.Millisecond + s.exponential(10*time.Second) {
			s.schedule(at, func() { s.workFactor[i] = 5 })
			s.schedule(at+500*time.Millisecond, func() { s.workFactor[i] = 1 })
		}
	}
}

// startCall runs c on server i and calls done when it ends.
func (s *simulation) startCall(c *simulatedCall, i int, done func()) {
	c.started = s.now
	factor := s.workFactor[i]
	if c.failed = i < s.broken; c.failed {
		factor = 0.01
	}
	s.schedule(time.Duration(float64(c.work)*factor), func() {
		c.ended = s.now
		done()
	})
}

// poolDriver requests slots from a Pool for the calls of a simulation.
type poolDriver struct {
	*simulation
	pool       *allocator.Pool
	pending    map[uint64]*simulatedCall
	lastNumber uint64
}

func newPoolDriver(s *simulation, service parser.Service) *poolDriver {
	service.Name = "guidance"
	m := &router.Service{Service: &service}
	for i, a := range s.addrs {
		m.Servers = append(m.Servers, router.BackendServer{Name: strconv.Itoa(i), Address: a, Zone: "a"})
	}
	d := &poolDriver{simulation: s, pending: make(map[uint64]*simulatedCall)}
	d.pool = &allocator.Pool{
		Key:    allocator.PoolKey{Service: "guidance", Zone: "a"},
		Policy: picker.LowestScore[*tracker.Server]{Rand: s.rng},
		Jitter: func() float64 { return 1 },
	}
	d.pool.ApplyTable(s.now, &router.RoutingTable{Services: map[string]*router.Service{"guidance": m}})
	s.assign = d.requestSlot
	s.schedule(0, d.tickPool)
	return d
}

func (d *poolDriver) tickPool() {
	d.pool.Tick(d.now)
	d.schedule(5*time.Millisecond, d.tickPool)
}

func (d *poolDriver) requestSlot(c *simulatedCall) {
	d.lastNumber++
	d.pending[d.lastNumber] = c
	d.pool.RequestSlot(d.now, allocator.SlotRequest{ID: allocator.ID{Owner: d, Number: d.lastNumber}, Rank: c.rank, Deadline: c.deadline})
}

// ReceiveReply starts a granted call.
func (d *poolDriver) ReceiveReply(r allocator.Reply) {
	c := d.pending[r.Number]
	switch r.Kind {
	case allocator.ReplyRefused:
		c.reason = r.Reason
		delete(d.pending, r.Number)
	case allocator.ReplyOffered:
		d.startCall(c, slices.Index(d.addrs, r.Server), func() {
			delete(d.pending, r.Number)
			id := allocator.ID{Owner: d, Number: r.Number}
			d.pool.ReleaseSlot(d.now, id, tracker.Result{Latency: c.ended.Sub(c.started), ReportedCalls: -1, Failed: c.failed})
		})
	}
}

// percentile returns the p-th percentile of value over the ended calls of rank
// r.
func percentile(calls []*simulatedCall, r parser.Rank, p float64, value func(*simulatedCall) time.Duration) time.Duration {
	var all []time.Duration
	for _, c := range calls {
		if c.rank == r && !c.ended.IsZero() {
			all = append(all, value(c))
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(float64(len(all))*p/100), len(all)-1)]
}

// countServed returns the number of calls of rank r that ended before their
// callers gave up.
func countServed(calls []*simulatedCall, r parser.Rank) int {
	n := 0
	for _, c := range calls {
		if c.rank == r && !c.ended.IsZero() && (c.patience == 0 || c.ended.Sub(c.arrivedAt) <= c.patience) {
			n++
		}
	}
	return n
}
