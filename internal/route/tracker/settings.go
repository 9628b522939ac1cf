package tracker

import "time"

// Settings are the figures of a pool; a zero field means its default.
type Settings struct {
	Slots    int           // Calls that one backend server runs at a time; 0 means 1.
	HalfLife time.Duration // Age at which a latency figure has moved half way to the median; 0 means 2s.
	Window   time.Duration // Span of the failure ratio; 0 means 10s.
	Delay    time.Duration // Time from the first ejection to the trial call; 0 means 1s.
	Ceiling  time.Duration // Longest time from an ejection to the trial call; 0 means 60s.
	Ramp     int           // Successes that raise the limit of a cold server by 1; 0 means 3.
	Run      int           // Successes in a row that raise a lowered limit by 1; 0 means 20.
}

const (
	defaultLatencyHalfLife   = 2 * time.Second
	defaultFailureWindow     = 10 * time.Second
	defaultTrialDelay        = time.Second
	defaultMaxTrialDelay     = time.Minute
	defaultColdSuccesses     = 3
	defaultRecoverySuccesses = 20

	// defaultLatency stands for a pool without any latency figure.
	defaultLatency = 10 * time.Millisecond
	// minResults is the number of results below which no server is ejected.
	minResults = 5
	// maxFailureRatio is the failure ratio above which a server is ejected.
	maxFailureRatio = 0.5
	// latencyWeight is the weight of a new latency in the EWMA. A server that turns 5
	// times slower is seen at 2.2 times its old figure after one result.
	latencyWeight = 0.3
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 200 * time.Millisecond
	// maxMedianAge bounds the age of the cached median, which costs a sort.
	maxMedianAge = 20 * time.Millisecond
)

func (s Settings) withDefaults() Settings {
	s.Slots = max(s.Slots, 1)
	setDefault(&s.HalfLife, defaultLatencyHalfLife)
	setDefault(&s.Window, defaultFailureWindow)
	setDefault(&s.Delay, defaultTrialDelay)
	setDefault(&s.Ceiling, defaultMaxTrialDelay)
	setDefault(&s.Ramp, defaultColdSuccesses)
	setDefault(&s.Run, defaultRecoverySuccesses)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
