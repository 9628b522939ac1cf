package picker

import "time"

// ServerStats holds the measures of a backend server that determine its score.
type ServerStats struct {
	ExpectedLatency  time.Duration
	MedianLatency    time.Duration // Median of the servers of the pool.
	InFlight         float64       // Includes the calls granted by other homes.
	ConcurrencyLimit int           // Most calls in flight that the server may get.
	FailureRatio     float64       // Of recent calls, 0 to 1.
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
