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

	setupOnce  sync.Once
	localHome  localHome
	lastNumber atomic.Uint64
	poolIndex  atomic.Pointer[poolIndex]
	baseline   baseline
	cache      slotCache

	mu        sync.Mutex
	streams   map[string]*grantStream   // By name of the instance.
	lastHomes map[granter.Key]askedHome // Home that was last asked for each pool.
}

const (
	// answerTimeout is the time in which a home must answer an ask at all. It
	// exceeds the round trip between regions with a pause of a busy process.
	answerTimeout = 500 * time.Millisecond
	// defaultDeadline applies to a need without a deadline.
	defaultDeadline = 10 * time.Second
	// moveCheckPeriod is the time between checks for moved pools whose slots are held.
	moveCheckPeriod = 200 * time.Millisecond
)

func (c *Asker) setup() {
	if c.Granter == nil {
		c.Granter = &granter.Granter{Map: c.Map}
	}
	c.localHome = localHome{granter: c.Granter, slots: make(map[uint64]*Slot)}
	c.streams = make(map[string]*grantStream)
	c.lastHomes = make(map[granter.Key]askedHome)
}

// Run reports held slots to homes to which their pools have moved, until ctx is
// done; it then closes the grant streams.
func (c *Asker) Run(ctx context.Context) error {
	c.setupOnce.Do(c.setup)
	t := time.NewTicker(moveCheckPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			c.closeStreams()
			return nil
		case <-t.C:
			c.reportMovedSlots()
		}
	}
}

// Acquire returns a slot for a call, or a *Refusal.
func (c *Asker) Acquire(ctx context.Context, req Need) (*Slot, error) {
	c.setupOnce.Do(c.setup)
	if req.Deadline.IsZero() {
		req.Deadline = time.Now().Add(defaultDeadline)
	}
	if req.Target.IsZero() {
		req.Target = req.Deadline
	}
	if c.Policy != Dispatch {
		return c.baseline.acquireSlot(c, req)
	}
	a := &acquisition{client: c, request: req, wake: make(chan struct{}, 1)}
	if s := c.cache.takeSlot(a); s != nil {
		return s, nil
	}
	return a.awaitSlot(ctx)
}
