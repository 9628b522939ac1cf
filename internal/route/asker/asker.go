package asker

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/route/granter"
	"sardinelever.example/sardinelever/internal/route/mapper"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Need describes the slot that a call asks for.
type Need struct {
	Service  string
	Rank     parser.Rank
	Route    string // Calls of one route take about the same time; may be empty.
	Deadline time.Time
	Target   time.Time        // Time until which an answer is worth most; zero means the deadline.
	Avoid    []netip.AddrPort // Backend servers that earlier attempts of the call used.
}

// Result is what a call says about the backend server when it gives its slot back.
type Result = tracker.Result

// Refusal is the error of a call that gets no slot.
type Refusal struct {
	Reason string // One word: full, late, none, gone.
	After  time.Duration
}

// Error returns the reason.
func (r *Refusal) Error() string { return "no slot: " + r.Reason }

// Fleet says which instances may act as homes.
type Fleet interface {
	// Usable returns the members of zone in region that may act as home; an
	// empty zone stands for all zones and an empty region for all regions.
	Usable(zone, region string) []registrar.Member
	// Failed says that a member could not be reached or that its stream broke.
	Failed(name string)
}

// Opener opens streams to other instances.
type Opener interface {
	Open(ctx context.Context, peer netip.AddrPort, k linker.Kind) (net.Conn, error)
}

// Asker obtains slots from the homes of pools.
type Asker struct {
	Map     *mapper.Holder
	Name    string           // Name of this instance.
	Zone    string           // Availability zone of this instance.
	Region  string           // Region of this instance.
	Granter *granter.Granter // Home on this instance; nil means one of its own.
	Fleet   Fleet            // nil means that this instance is home of all pools.
	Links   Opener           // nil means that this instance is home of all pools.
	Policy  Policy           // The zero value asks homes; others are baselines for measurements.
	Fresh   bool             // Fresh asks a home for each call and keeps no slot between calls.

	once   sync.Once
	local  local
	number atomic.Uint64
	plan   atomic.Pointer[plan]
	base   baseline
	keeper keeper

	mu    sync.Mutex
	links map[string]*link           // By name of the instance.
	last  map[granter.Key]placedHome // Home that was last asked for each pool.
}

const (
	// answerTimeout is the time in which a home must answer an ask at all. It
	// exceeds the round trip between regions with a pause of a busy process.
	answerTimeout = 500 * time.Millisecond
	// defaultDeadline applies to a need without a deadline.
	defaultDeadline = 10 * time.Second
	// followPeriod is the time between checks for moved pools whose slots are held.
	followPeriod = 200 * time.Millisecond
)

func (a *Asker) setup() {
	if a.Granter == nil {
		a.Granter = &granter.Granter{Map: a.Map}
	}
	a.local = local{granter: a.Granter, slots: make(map[uint64]*Slot)}
	a.links = make(map[string]*link)
	a.last = make(map[granter.Key]placedHome)
}

// Run reports held slots to homes to which their pools have moved, until ctx is
// done; it then closes the grant streams.
func (a *Asker) Run(ctx context.Context) error {
	a.once.Do(a.setup)
	t := time.NewTicker(followPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			a.closeLinks()
			return nil
		case <-t.C:
			a.follow()
		}
	}
}

// Acquire returns a slot for a call, or a *Refusal.
func (a *Asker) Acquire(ctx context.Context, n Need) (*Slot, error) {
	a.once.Do(a.setup)
	if n.Deadline.IsZero() {
		n.Deadline = time.Now().Add(defaultDeadline)
	}
	if n.Target.IsZero() {
		n.Target = n.Deadline
	}
	if a.Policy != Dispatch {
		return a.base.acquire(a, n)
	}
	w := &ask{asker: a, need: n, wake: make(chan struct{}, 1)}
	if s := a.keeper.take(w); s != nil {
		return s, nil
	}
	return w.run(ctx)
}
