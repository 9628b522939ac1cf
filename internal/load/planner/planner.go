package planner

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// Identity says which identity the calls of a stream carry.
type Identity uint8

// The kinds of identity.
const (
	None   Identity = iota
	Made            // A UUIDv7 of the caller.
	Issued          // From GET /sardine/id of an instance.
)

// Stream is a kind of calls that arrive as a Poisson process.
type Stream struct {
	Name       string // Label in reports.
	Service    string
	Method     string // Empty means GET.
	Path       string
	Rank       parser.Rank
	Idempotent bool
	Identity   Identity
	Retries    int           // Further attempts of the caller after a call without an answer.
	Deadline   time.Duration // 0 leaves it to the route.
	Rate       float64       // Calls per second.
	From, Till time.Duration // Time in which calls arrive.
	Mean       time.Duration // Mean service time.
	Sigma      float64       // Shape of the lognormal service time; 0 means a constant time.
}

// Arrival is one planned call.
type Arrival struct {
	Stream  *Stream
	At      time.Duration // Intended send time since the start.
	Service time.Duration
}

// maxArrivals bounds the calls of a trial.
const maxArrivals = 600_000

// Plan draws the arrivals of streams from seed, sorted by time.
func Plan(seed uint64, streams []Stream) []Arrival {
	var arrivals []Arrival
	for i := range streams {
		s := &streams[i]
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := s.From + drawInterarrivalTime(rng, s.Rate); at < s.Till && len(arrivals) < maxArrivals; at += drawInterarrivalTime(rng, s.Rate) {
			arrivals = append(arrivals, Arrival{Stream: s, At: at, Service: s.drawServiceTime(rng)})
		}
	}
	slices.SortFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

func drawInterarrivalTime(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// drawServiceTime returns a lognormal time with mean s.Mean: exp(mu + sigma z) with
// mu = ln(mean) - sigma^2/2.
func (s *Stream) drawServiceTime(rng *rand.Rand) time.Duration {
	if s.Sigma == 0 {
		return s.Mean
	}
	mu := math.Log(float64(s.Mean)) - s.Sigma*s.Sigma/2
	return time.Duration(math.Exp(mu + s.Sigma*rng.NormFloat64())).Truncate(time.Microsecond)
}

// Slowdown is a time in which one backend server takes Factor times as long.
type Slowdown struct {
	Server     int
	From, Till time.Duration
	Factor     float64
}

// Slowdowns draws slowdowns of n servers over the length of a trial: each
// server is slow for mean on average and normal for rest on average.
func Slowdowns(seed uint64, n int, trialLength, meanSlow, meanNormal time.Duration, factor float64) []Slowdown {
	var slowdowns []Slowdown
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		for at := drawExponential(rng, meanNormal); at < trialLength; {
			till := at + meanSlow/2 + drawExponential(rng, meanSlow/2)
			slowdowns = append(slowdowns, Slowdown{Server: i, From: at, Till: till, Factor: factor})
			at = till + drawExponential(rng, meanNormal)
		}
	}
	slices.SortFunc(slowdowns, func(a, b Slowdown) int { return int(a.From - b.From) })
	return slowdowns
}

func drawExponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}
