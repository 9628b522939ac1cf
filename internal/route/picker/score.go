package picker

import "time"

// Facts is what the score of a backend server depends on.
type Facts struct {
	Latency  time.Duration // Expected latency.
	Median   time.Duration // Median latency of the pool.
	Busy     float64       // Calls in flight, with those of other homes.
	Limit    int
	Failures float64 // Recent failure ratio, 0 to 1.
}

// failurePenalty is the penalty of a server whose calls all fail, in median
// latencies. It exceeds the score of a healthy server that is 5 times slower.
const failurePenalty = 10

// Score returns latency x (busy + 1) / limit + penalty in seconds; lower is better.
func Score(f Facts) float64 {
	return f.Latency.Seconds()*(f.Busy+1)/float64(max(f.Limit, 1)) +
		f.Failures*failurePenalty*f.Median.Seconds()
}
