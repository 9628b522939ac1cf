package picker

import "time"

// ServerStats holds the measures of a backend server that determine its score.
type ServerStats struct {
	ExpectedLatency  time.Duration // Expected latency.
	MedianLatency    time.Duration // Median latency of the pool.
	InFlight         float64       // Calls in flight, including those of other homes.
	ConcurrencyLimit int           // Most calls in flight.
	FailureRatio     float64       // Fraction of recent calls that failed, 0 to 1.
}

// failurePenalty is the penalty of a server whose calls all fail, in multiples of the
// median latency. It exceeds the score of a healthy server that is 5 times slower.
const failurePenalty = 10

// Score returns the score of a server in seconds; lower is better. It is
//
//	latency x (calls in flight + 1) / limit + failure ratio x failurePenalty x median latency
//
// with a limit of at least 1.
func Score(s ServerStats) float64 {
	return s.ExpectedLatency.Seconds()*(s.InFlight+1)/float64(max(s.ConcurrencyLimit, 1)) +
		s.FailureRatio*failurePenalty*s.MedianLatency.Seconds()
}
