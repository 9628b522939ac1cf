package planner

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// KeySource says where the idempotency key comes from by which instances
// recognise a repeated call.
type KeySource uint8

// The sources of an idempotency key.
const (
	NoKey       KeySource = iota // The call carries no idempotency key.
	CallerKey                    // The caller generates a UUIDv7.
	InstanceKey                  // An instance issues it in response to GET /sardine/id.
)

// Stream describes calls of one kind, which arrive as a Poisson process.
type Stream struct {
	Name            string // Label in reports.
	Service         string // Name of the service that is called.
	Method          string // Empty means GET.
	Path            string // Path of the call within the service.
	Rank            parser.Rank
	Idempotent      bool // Running a call of the stream more than once does no harm.
	KeySource       KeySource
	Retries         int           // Maximum number of retries by the caller.
	Deadline        time.Duration // Time that a call may take; 0 leaves it to the route.
	Rate            float64       // Mean number of calls per second.
	From, Till      time.Duration // Calls arrive in this interval, counted from the start of the trial.
	MeanServiceTime time.Duration
	Sigma           float64 // Shape parameter of the lognormal service time; 0 means a constant time.
}

// Arrival is one planned call.
type Arrival struct {
	Stream      *Stream
	At          time.Duration // Intended send time, counted from the start of the trial.
	ServiceTime time.Duration // Time that a backend server without a slowdown takes for the call.
}

// maxArrivals bounds the number of calls of a trial.
const maxArrivals = 600_000

// DrawArrivals draws the arrivals of streams from seed and returns them sorted by
// time. Each stream has its own random generator, so that adding a stream at the
// end does not change the arrivals of the others.
func DrawArrivals(seed uint64, streams []Stream) []Arrival {
	var arrivals []Arrival
	for i := range streams {
		s := &streams[i]
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := s.From + drawInterarrivalTime(rng, s.Rate); at < s.Till && len(arrivals) < maxArrivals; at += drawInterarrivalTime(rng, s.Rate) {
			arrivals = append(arrivals, Arrival{Stream: s, At: at, ServiceTime: s.drawServiceTime(rng)})
		}
	}
	slices.SortFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

// drawInterarrivalTime returns the time between two arrivals of a Poisson process
// with rate arrivals per second.
func drawInterarrivalTime(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// drawServiceTime returns a lognormally distributed time: exp(mu + sigma z) with a
// standard normal z, where mu = ln(mean) - sigma^2/2 makes its mean
// MeanServiceTime.
func (s *Stream) drawServiceTime(rng *rand.Rand) time.Duration {
	if s.Sigma == 0 {
		return s.MeanServiceTime
	}
	mu := math.Log(float64(s.MeanServiceTime)) - s.Sigma*s.Sigma/2
	return time.Duration(math.Exp(mu + s.Sigma*rng.NormFloat64())).Truncate(time.Microsecond)
}

// Slowdown is an interval of a trial in which the calls that start on one backend
// server take Factor times as long.
type Slowdown struct {
	Server     int // Index of the server.
	From, Till time.Duration
	Factor     float64
}

// DrawSlowdowns draws the slowdowns of n servers over the length of a trial from
// seed and returns them sorted by start. Each server alternates between normal, for
// meanNormalDuration on average, and slow, for meanSlowDuration on average and at
// least half of it.
func DrawSlowdowns(seed uint64, n int, trialLength, meanSlowDuration, meanNormalDuration time.Duration, factor float64) []Slowdown {
	var slowdowns []Slowdown
	for i := range n {
		// 1000 keeps these generators apart from those of the arrivals, which draw
		// from the same seed.
		rng := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		for at := drawExponential(rng, meanNormalDuration); at < trialLength; {
			till := at + meanSlowDuration/2 + drawExponential(rng, meanSlowDuration/2)
			slowdowns = append(slowdowns, Slowdown{Server: i, From: at, Till: till, Factor: factor})
			at = till + drawExponential(rng, meanNormalDuration)
		}
	}
	slices.SortFunc(slowdowns, func(a, b Slowdown) int { return int(a.From - b.From) })
	return slowdowns
}

// drawExponential returns an exponentially distributed time.
func drawExponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}
