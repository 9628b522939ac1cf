package acquirer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/meter"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/balancer"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/tracker"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// Request describes the call for which a slot is requested.
type Request struct {
	Service  string
	Rank     parser.Rank
	Route    string // Groups calls of similar service time; may be empty.
	Deadline time.Time
	Target   time.Time        // Time after which a response loses value; zero means Deadline.
	Avoid    []netip.AddrPort // Backend servers that earlier attempts of the call used; no slot of them is granted.
	Hedge    bool             // The attempt overlaps another one: it gets a slot that is free now or a refusal.
}

// Result is the outcome of a call, which is reported to the homes that count its slot.
type Result = tracker.Result

// Refusal is the error that Acquire returns when a call gets no slot.
type Refusal struct {
	Reason     string        // One of full, late and none as in package allocator, paused when all servers want no calls for some time, or gone when the context was cancelled.
	RetryAfter time.Duration // Time before another attempt makes sense; 0 when the reason is gone.
	Firm       bool          // No attempt before RetryAfter can succeed.
}

// Error implements error.
func (r *Refusal) Error() string { return "no slot: " + r.Reason }

// Fleet lists the instances that may act as homes and learns which ones failed.
type Fleet interface {
	// UsableMembers returns the members in zone and region that may act as
	// homes. An empty zone means all zones and an empty region all regions.
	UsableMembers(zone, region string) []registrar.Member
	// ReportFailure reports that the named member could not be reached or that
	// its grant stream broke.
	ReportFailure(name string)
}

// StreamOpener opens streams to other instances.
type StreamOpener interface {
	OpenStream(ctx context.Context, peer netip.AddrPort, k connector.StreamKind) (net.Conn, error)
}

// Client acquires slots from the homes of pools.
type Client struct {
	RoutingTable *router.TableHolder
	Name         string               // Name of this instance.
	Zone         string               // Availability zone of this instance.
	Region       string               // Region of this instance.
	Allocator    *allocator.Allocator // Home on this instance; nil means a new one.
	Fleet        Fleet                // nil means that this instance is the home of all pools.
	StreamOpener StreamOpener         // nil means that this instance is the home of all pools.
	Policy       Policy               // The zero value requests slots from homes; the others are baselines for measurements.
	NoSlotReuse  bool                 // Requests a slot from a home for each call and keeps none between calls.
	// Withholder says which backend servers get no calls of this instance. nil means none.
	Withholder *withholder.Withholder

	// Balancer divides calls between zones. nil means that calls ask the own zone
	// first and, when it has no free slot, all others.
	Balancer *balancer.Balancer
	// UseBalancer reports whether the Balancer is used now; nil means always.
	UseBalancer func() bool
	Metrics     *meter.Metrics // nil discards the counts.

	setupOnce  sync.Once
	localHome  localHome
	lastNumber atomic.Uint64 // Number of the last ask.
	poolIndex  atomic.Pointer[poolIndex]
	baseline   baseline
	cache      slotCache

	mu        sync.Mutex
	streams   map[string]*grantStream        // By the name of the home.
	lastHomes map[allocator.PoolKey]lastHome // Last known home of each pool.
}

const (
	// replyTimeout is the time within which a home must send the first reply to
	// an ask. It exceeds a round trip between regions plus a pause of a busy
	// process.
	replyTimeout = 500 * time.Millisecond
	// defaultDeadline is the time to the deadline of a request that has none.
	defaultDeadline = 10 * time.Second
	// moveCheckPeriod is the time between checks whether pools with slots in use
	// have moved to another home.
	moveCheckPeriod = 200 * time.Millisecond
)

func (c *Client) setup() {
	if c.Allocator == nil {
		c.Allocator = &allocator.Allocator{RoutingTable: c.RoutingTable}
	}
	c.localHome = localHome{allocator: c.Allocator, slots: make(map[uint64]*Slot)}
	c.streams = make(map[string]*grantStream)
	c.lastHomes = make(map[allocator.PoolKey]lastHome)
}

// Run reports the slots in use to the new home of each pool that moves. It returns
// nil after ctx is done and the grant streams have been told to close.
func (c *Client) Run(ctx context.Context) error {
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

// Acquire waits for a slot for a call. It returns a *Refusal as the error when the
// homes refuse, the deadline passes or ctx is done.
func (c *Client) Acquire(ctx context.Context, req Request) (*Slot, error) {
	c.setupOnce.Do(c.setup)
	if req.Deadline.IsZero() {
		req.Deadline = time.Now().Add(defaultDeadline)
	}
	if req.Target.IsZero() {
		req.Target = req.Deadline
	}
	for {
		if r := c.PausedRefusal(req.Service); r != nil {
			return nil, r
		}
		avoid := req.Avoid
		req.Avoid = append(slices.Clip(avoid), c.withheldServers(req.Service)...)
		s, err := c.acquireAnySlot(ctx, req)
		if err == nil && c.isEvacuated(req.Service, s) {
			s.Abandon() // No pool of this zone is asked any more.
			req.Avoid = avoid
			continue
		}
		if err != nil || !slices.Contains(c.withheldServers(req.Service), s.Server) {
			return s, err
		}
		s.Abandon() // The home did not know yet, or the server was withheld after the offer.
		req.Avoid = append(slices.Clip(avoid), s.Server)
	}
}

// acquireAnySlot returns a kept slot or requests one from the homes. The slot may be that
// of a server that has been withheld meanwhile.
func (c *Client) acquireAnySlot(ctx context.Context, req Request) (*Slot, error) {
	if c.Policy != GrantByHome {
		return c.baseline.acquireSlot(c, req)
	}
	a := &acquisition{client: c, request: req, wake: make(chan struct{}, 1)}
	if s := c.cache.takeSlot(a); s != nil {
		return s, nil
	}
	return a.awaitSlot(ctx)
}
