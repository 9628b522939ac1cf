package picker

import "time"

// Facts holds the measures of a backend server that determine its score.
type Facts struct {
	Latency  time.Duration // Expected latency.
	Median   time.Duration // Median latency of the pool.
	Busy     float64       // Calls in flight, including those of other homes.
	Limit    int           // Most calls in flight.
	Failures float64       // Fraction of recent calls that failed, 0 to 1.
}

// failurePenalty is the penalty of a server whose calls all fail, in multiples of the
// median latency. It exceeds the score of a healthy server that is 5 times slower.
const failurePenalty = 10

// Score returns the score of a server in seconds; lower is better. It is
//
//	latency x (calls in flight + 1) / limit + failure ratio x failurePenalty x median latency
//
// with a limit of at least 1.
func Score(s Facts) float64 {
	return s.Latency.Seconds()*(s.Busy+1)/float64(max(s.Limit, 1)) +
		s.Failures*failurePenalty*s.Median.Seconds()
}
